"""The simulated connection pool follows the rules of the real one: both get the same attempts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Protocol, cast

import pytest

from cache_router.decisions.events import AttemptStatus, LoadReport
from cache_router.endpoint import Endpoint, EndpointState
from cache_router.net import connection_pool, dispatcher
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.command import Command
from cache_router.net.connection_pool import ConnectionPool
from cache_router.net.upstream_attempt import UpstreamAttempt, UpstreamResponse
from cache_router.server import DescriptorBudget
from scale_experiments.simulation import network_rules
from scale_experiments.simulation.attempt_runner import AttemptRunner
from scale_experiments.simulation.cache_server import CacheServer
from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.event_queue import EventQueue
from scale_experiments.simulation.model import START, FleetModel, site_settings
from scale_experiments.simulation.network import Location, Network
from scale_experiments.simulation.origin import Origin
from scale_experiments.simulation.requests import Attempt, ClientRequest, PendingRequest
from scale_experiments.simulation.router import SimulatedRouter
from scale_experiments.simulation.statistics import DecisionTimer, FleetStatistics
from tests.support.loopback import HIT, Link, Peer

# in seconds; the clocks of both pools are put forward, so that nothing waits so long
REUSE_DELAY = 100.0
IDLE_TIME = 1000.0
LONG = 1e6
PATIENCE = 10.0  # of a test, in real seconds, for what must come
LOOP_TURNS = 30  # of the event loop, in which ends of connections come through on loopback

GET = Command(b"C.GET", b"k", b"r1", {"c": "read", "d": "900"}, 900)

Outcome = int | AttemptStatus  # the number of the connection that an attempt came on, or how it ended instead


class PoolUnderTest(Protocol):
    """A pool in front of one server. Connections are numbered in the order they were made in."""

    async def send(self, process: int = 1, ends: AttemptStatus | None = None) -> Outcome:
        """Start an attempt at a process of the server.

        `ends` is the precondition's word once a new connection is up.
        """

    async def answer(self, connection: int) -> None:
        """Let the server answer the attempt on a connection."""

    async def abandon(self, connection: int) -> None:
        """Give up the attempt on a connection."""

    async def close_idle(self) -> None:
        """Close the idle connections."""

    async def wait(self, seconds: float) -> None:
        """Put the clock forward."""

    async def closed(self) -> set[int]:
        """The connections that are closed."""


class AdjustableLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock can be put forward."""

    offset = 0.0

    def time(self) -> float:
        return super().time() + self.offset


class RealPool:
    """`ConnectionPool` on loopback; all that is known of its connections is what the server sees."""

    def __init__(self, peer: Peer, budget: int) -> None:
        idle_timeout = IDLE_TIME + connection_pool.IDLE_MARGIN
        self.pool = ConnectionPool(CacheConnection, budget, 5.0, idle_timeout, REUSE_DELAY)
        self.peer = peer
        self.links: list[Link] = []
        self.ended: set[int] = set()
        self.attempts: dict[int, UpstreamAttempt] = {}
        self.outcomes: asyncio.Queue[Outcome] = asyncio.Queue()
        self.tasks = [asyncio.create_task(self._accept())]

    async def _accept(self) -> None:
        while True:
            link = await self.peer.link()
            self.links.append(link)
            self.tasks.append(asyncio.create_task(self._read(link, len(self.links) - 1)))

    async def _read(self, link: Link, number: int) -> None:
        try:
            while True:
                await link.resp()
                self.outcomes.put_nowait(number)
        except (AssertionError, ConnectionError):  # the connection's end
            self.ended.add(number)

    async def _next_outcome(self) -> Outcome:
        return await asyncio.wait_for(self.outcomes.get(), PATIENCE)

    async def send(self, process: int = 1, ends: AttemptStatus | None = None) -> Outcome:
        def done(response: UpstreamResponse) -> None:
            self.outcomes.put_nowait(response.status)

        attempt = UpstreamAttempt(GET, LONG, done, precondition=lambda: ends)
        self.pool.start(attempt, self.peer.address, process)
        outcome = await self._next_outcome()
        if isinstance(outcome, int):
            self.attempts[outcome] = attempt
        return outcome

    async def answer(self, connection: int) -> None:
        self.links[connection].write(HIT)
        assert await self._next_outcome() is AttemptStatus.OK

    async def abandon(self, connection: int) -> None:
        self.attempts[connection].abandon()

    async def close_idle(self) -> None:
        self.pool.close_idle(self.peer.address)

    async def wait(self, seconds: float) -> None:
        cast(AdjustableLoop, asyncio.get_running_loop()).offset += seconds

    async def closed(self) -> set[int]:
        for _ in range(LOOP_TURNS):
            await asyncio.sleep(0.001)
        return set(self.ended)

    def stop(self) -> None:
        self.pool.close()
        for task in self.tasks:
            task.cancel()


class ScriptedServer(CacheServer):
    """A cache server that answers only when the test says so."""

    def receive(self, attempt: Attempt) -> None:
        """Leave an attempt without an answer."""


class SimulatedPool:
    """The simulated pool, with the attempts of one router."""

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
        self.ended: list[tuple[Attempt, AttemptStatus]] = []
        self.runner = AttemptRunner(
            context,
            Location(0, 0),
            self.endpoints,
            caches,
            Origin(context, caches),
            on_finished=lambda attempt, status, _: self.ended.append((attempt, status)),
        )
        self.attempts: list[Attempt] = []  # the last one of each connection

    async def send(self, process: int = 1, ends: AttemptStatus | None = None) -> Outcome:
        endpoint = Endpoint(self.server.name, weight=1.0, started_at=float(process))
        self.endpoints[endpoint.name] = endpoint
        request = PendingRequest("r1", cast(SimulatedRouter, None), ClientRequest("k", False, START))
        self.runner.start(request, endpoint.name)
        attempt = next(iter(request.attempts_in_flight.values()), None)
        request.is_overdue = ends is AttemptStatus.NOT_SENT
        if ends is AttemptStatus.CONNECT_FAILED:
            draining = Endpoint(
                endpoint.name, weight=1.0, started_at=float(process), state=EndpointState.DRAINING
            )
            self.endpoints[endpoint.name] = draining
        self.events.run(0.01)
        if attempt is None:
            return self.ended[-1][1]
        connections = [a.connection for a in self.attempts]
        if attempt.connection in connections:
            number = connections.index(attempt.connection)
            self.attempts[number] = attempt
        else:
            number = len(self.attempts)
            self.attempts.append(attempt)
        return self.ended[-1][1] if attempt.is_finished else number

    async def answer(self, connection: int) -> None:
        attempt = self.attempts[connection]
        self.runner.pool.receive_response(attempt, AttemptStatus.OK, LoadReport(0.0, 0.0))
        assert self.ended[-1] == (attempt, AttemptStatus.OK)

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
Play = Callable[[Scenario, int], None]


def play_on_real_pool(scenario: Scenario, budget: int) -> None:
    async def play() -> None:
        async with Peer() as peer:
            pool = RealPool(peer, budget)
            await scenario(pool)
            pool.stop()

    with asyncio.Runner(loop_factory=AdjustableLoop) as runner:
        runner.run(play())


def play_on_simulated_pool(scenario: Scenario, budget: int) -> None:
    asyncio.run(scenario(SimulatedPool(budget)))


@pytest.fixture(params=[play_on_real_pool, play_on_simulated_pool], ids=["real", "simulated"])
def play(request: pytest.FixtureRequest) -> Play:
    """Plays a scenario on one of the pools, with a budget of descriptors."""
    return cast(Play, request.param)


def test_the_constants_are_those_of_the_network_code() -> None:
    assert network_rules.IDLE_MARGIN == connection_pool.IDLE_MARGIN
    assert network_rules.REUSE_DELAY == connection_pool.REUSE_DELAY
    assert network_rules.DEADLINE_MARGIN == dispatcher.DEADLINE_MARGIN
    model = FleetModel(1, 1, 1.0)
    assert model.reuse_delay == network_rules.REUSE_DELAY
    assert model.router_descriptors == network_rules.ROUTER_DESCRIPTORS == 372
    assert DescriptorBudget.divide(1024).caches == network_rules.ROUTER_DESCRIPTORS


def test_a_connection_carries_one_attempt_at_a_time(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send() == 1
        assert await pool.closed() == set()

    play(scenario, 8)


def test_the_connection_idle_for_longest_is_reused_first(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        for connection in (1, 2, 0):
            await pool.answer(connection)
            await pool.wait(1.0)
        await pool.wait(REUSE_DELAY)
        assert [await pool.send() for _ in range(4)] == [1, 2, 0, 3]

    play(scenario, 8)


def test_a_connection_is_reused_only_after_the_delay(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.answer(0)
        await pool.wait(REUSE_DELAY - 5)
        assert await pool.send() == 1
        await pool.wait(10.0)
        assert await pool.send() == 0

    play(scenario, 8)


def test_an_idle_connection_is_closed_before_the_server_would_close_it(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.answer(0)
        await pool.wait(IDLE_TIME / 2)
        assert await pool.send() == 0
        await pool.wait(IDLE_TIME)  # in use all the while
        assert await pool.closed() == set()
        await pool.answer(0)
        await pool.wait(IDLE_TIME - 5)
        assert await pool.closed() == set()
        await pool.wait(10.0)
        assert await pool.closed() == {0}
        assert await pool.send() == 1

    play(scenario, 8)


def test_a_connection_to_an_earlier_process_is_not_reused(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send(process=1) == 0
        await pool.answer(0)
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send(process=2) == 1
        assert await pool.closed() == {0}

    play(scenario, 8)


def test_beyond_the_budget_the_connection_idle_for_longest_makes_way(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        assert await pool.send() is AttemptStatus.NOT_SENT
        for connection in (1, 0):
            await pool.answer(connection)
        # both rest still, so that neither is reused
        assert await pool.send() == 3
        assert await pool.closed() == {1}
        assert await pool.send() == 4
        assert await pool.closed() == {0, 1}
        assert await pool.send() is AttemptStatus.NOT_SENT

    play(scenario, 3)


def test_the_idle_connections_to_a_server_are_closed_at_once(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        for connection in (0, 2):
            await pool.answer(connection)
        await pool.close_idle()
        assert await pool.closed() == {0, 2}

    play(scenario, 8)


def test_an_attempt_that_is_given_up_closes_its_connection(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(2)] == [0, 1]
        await pool.abandon(0)
        assert await pool.closed() == {0}

    play(scenario, 8)


@pytest.mark.parametrize(
    ("ends", "closed", "next_connection"),
    [(AttemptStatus.NOT_SENT, set(), 0), (AttemptStatus.CONNECT_FAILED, {0}, 1)],
)
def test_the_precondition_is_checked_once_a_connection_is_up(
    play: Play, ends: AttemptStatus, closed: set[int], next_connection: int
) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send(ends=ends) is ends
        assert await pool.closed() == closed
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send() == next_connection

    play(scenario, 8)
