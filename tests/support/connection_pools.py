"""The real and the simulated connection pool behind one interface, so that a scenario can run on both."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any, Protocol, cast

from cache_router.decisions.events import AttemptStatus, LoadReport
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.net import connection_pool
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.command import Command
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from scale_experiments.simulation import network_rules
from scale_experiments.simulation.attempt_runner import AttemptRunner
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.connection import SimulatedConnection
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.decision_timer import DecisionTimer
from scale_experiments.simulation.event_queue import EventQueue
from scale_experiments.simulation.model import START, FleetModel, site_settings
from scale_experiments.simulation.network import Location, Network
from scale_experiments.simulation.origin import Origin
from scale_experiments.simulation.requests import Attempt, ClientRequest, PendingRequest
from scale_experiments.simulation.statistics import FleetStatistics
from tests.support.loopback import Peer, PeerConnection, encode_hit

# Times in seconds. The tests advance the clocks of both pools instead of waiting that long.
REUSE_DELAY = 100.0
IDLE_TIME = 1000.0
ATTEMPT_TIMEOUT = 1e6
OUTCOME_TIMEOUT = 10.0  # real seconds within which an expected outcome must arrive
CLOSE_DETECTION_PAUSES = 30  # pauses of 1 ms after which the loopback peer has detected closed connections

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)

Outcome = int | AttemptStatus  # number of an attempt's connection, or the status of an attempt that has ended


class PoolUnderTest(Protocol):
    """A pool of connections to one server. They are numbered in the order in which they were opened."""

    async def send(self, incarnation: int = 1, precondition_status: AttemptStatus | None = None) -> Outcome:
        """Start an attempt at one incarnation of the server.

        `precondition_status` is the status that the precondition returns after a new connection has been
        established.
        """

    async def respond(self, connection: int) -> None:
        """Let the server respond to the attempt on a connection."""

    async def abandon(self, connection: int) -> None:
        """Abandon the attempt on a connection."""

    async def close_idle(self) -> None:
        """Close the idle connections."""

    async def wait(self, seconds: float) -> None:
        """Advance the clock."""

    async def closed(self) -> set[int]:
        """Return the numbers of the connections that are closed."""


class AdjustableLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can be advanced."""

    offset = 0.0  # seconds by which the clock has been advanced

    def time(self) -> float:
        return super().time() + self.offset


class RealPool:
    """A `ConnectionPool` on loopback, observed by its server."""

    def __init__(self, peer: Peer, budget: int) -> None:
        idle_timeout = IDLE_TIME + connection_pool.IDLE_MARGIN
        self.pool = ConnectionPool(CacheConnection, budget, 5.0, idle_timeout, REUSE_DELAY)
        self.peer = peer
        self.links: list[PeerConnection] = []
        self.closed_connections: set[int] = set()
        self.attempts: dict[int, UpstreamAttempt] = {}
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        self.requests_sent = 0
        self.tasks = [asyncio.create_task(self._accept())]

    async def _accept(self) -> None:
        while True:
            link = await self.peer.accept_connection()
            self.links.append(link)
            self.tasks.append(asyncio.create_task(self._read(link, len(self.links) - 1)))

    async def _read(self, link: PeerConnection, number: int) -> None:
        try:
            while True:
                await link.read_resp()
                self.outcomes.put_nowait(number)
        except (AssertionError, ConnectionError):  # the connection was closed or reset
            self.closed_connections.add(number)

    async def _next_outcome(self) -> Outcome:
        return await asyncio.wait_for(self.outcomes.get(), OUTCOME_TIMEOUT)

    async def send(self, incarnation: int = 1, precondition_status: AttemptStatus | None = None) -> Outcome:
        def on_completed(response: UpstreamResponse) -> None:
            self.outcomes.put_nowait(response.status)

        # Each request has its own key and value, so that any idle connection may carry any request.
        self.requests_sent += 1
        command = replace(GET, key=b"k%d" % self.requests_sent)
        attempt = UpstreamAttempt(
            command, ATTEMPT_TIMEOUT, on_completed, precondition=lambda: precondition_status
        )
        self.pool.start(attempt, self.peer.address, incarnation)
        outcome = await self._next_outcome()
        if isinstance(outcome, int):
            self.attempts[outcome] = attempt
        return outcome

    async def respond(self, connection: int) -> None:
        self.links[connection].write(encode_hit(b"%d" % self.requests_sent))
        assert await self._next_outcome() is AttemptStatus.OK

    async def abandon(self, connection: int) -> None:
        self.attempts[connection].abandon()

    async def close_idle(self) -> None:
        self.pool.close_idle(self.peer.address)

    async def wait(self, seconds: float) -> None:
        cast(AdjustableLoop, asyncio.get_running_loop()).offset += seconds

    async def closed(self) -> set[int]:
        for _ in range(CLOSE_DETECTION_PAUSES):
            await asyncio.sleep(0.001)
        return set(self.closed_connections)

    def stop(self) -> None:
        self.pool.close()
        for task in self.tasks:
            task.cancel()


class ScriptedServer(CacheServer):
    """A cache server that responds only when the test makes it respond."""

    def receive(self, attempt: Attempt, connection: SimulatedConnection) -> None:
        """Ignore the attempt."""


class SimulatedPool:
    """The simulated pool with the attempts of one router."""

    def __init__(self, budget: int) -> None:
        idle_timeout = IDLE_TIME + network_rules.IDLE_MARGIN
        settings = site_settings(connection_idle_timeout=idle_timeout)
        model = FleetModel(1, 1, 1.0, reuse_delay=REUSE_DELAY, router_descriptors=budget)
        self.events = EventQueue(START)
        network, statistics = Network(model.one_way_latency), FleetStatistics(self.events)
        context = SimulationContext(
            settings, model, random.Random(1), self.events, network, statistics, DecisionTimer()
        )
        self.server = ScriptedServer(context, 0)
        caches = {self.server.name: self.server}
        self.endpoints: dict[str, Endpoint] = {}
        self.completed_attempts: list[tuple[Attempt, AttemptStatus]] = []
        self.runner = AttemptRunner(
            context,
            Location(0, 0),
            self.endpoints,
            caches,
            Origin(context, caches),
            on_finished=lambda attempt, status, _: self.completed_attempts.append((attempt, status)),
        )
        self.attempts: list[Attempt] = []  # the last attempt on each connection

    async def send(self, incarnation: int = 1, precondition_status: AttemptStatus | None = None) -> Outcome:
        endpoint = Endpoint(self.server.name, weight=1.0, started_at=float(incarnation))
        self.endpoints[endpoint.name] = endpoint
        request = PendingRequest("r1", self.runner, ClientRequest("k", False, START))
        self.runner.start(request, endpoint.name)
        attempt = next(iter(request.attempts_in_flight.values()), None)
        if precondition_status is AttemptStatus.NOT_SENT:
            request.mark_overdue()
        if precondition_status is AttemptStatus.CONNECT_FAILED:
            draining = Endpoint(
                endpoint.name, weight=1.0, started_at=float(incarnation), state=EndpointState.DRAINING
            )
            self.endpoints[endpoint.name] = draining
        self.events.run(0.01)
        if attempt is None:
            return self.completed_attempts[-1][1]
        connections = [a.connection for a in self.attempts]
        if attempt.connection in connections:
            number = connections.index(attempt.connection)
            self.attempts[number] = attempt
        else:
            number = len(self.attempts)
            self.attempts.append(attempt)
        return self.completed_attempts[-1][1] if attempt.is_finished else number

    async def respond(self, connection: int) -> None:
        attempt = self.attempts[connection]
        self.runner.pool.receive_response(attempt, AttemptStatus.OK, LoadReport(0.0, 0.0))
        assert self.completed_attempts[-1] == (attempt, AttemptStatus.OK)

    async def abandon(self, connection: int) -> None:
        self.runner.abandon(self.attempts[connection], AttemptStatus.CANCELLED)

    async def close_idle(self) -> None:
        self.runner.pool.close_idle(self.server.name)

    async def wait(self, seconds: float) -> None:
        self.events.run(seconds)

    async def closed(self) -> set[int]:
        connections = [a.connection for a in self.attempts]
        return {i for i, c in enumerate(connections) if c is not None and not c.is_open}


Scenario = Callable[[PoolUnderTest], Coroutine[Any, Any, None]]
ScenarioRunner = Callable[[Scenario, int], None]


def run_on_real_pool(scenario: Scenario, budget: int) -> None:
    async def run_scenario() -> None:
        async with Peer() as peer:
            pool = RealPool(peer, budget)
            await scenario(pool)
            pool.stop()

    with asyncio.Runner(loop_factory=AdjustableLoop) as runner:
        runner.run(run_scenario())


def run_on_simulated_pool(scenario: Scenario, budget: int) -> None:
    asyncio.run(scenario(SimulatedPool(budget)))
