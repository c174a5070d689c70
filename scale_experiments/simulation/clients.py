"""Model of the clients: the keys that they request, the arrival times and the retries."""

from __future__ import annotations

import itertools
from collections.abc import Sequence

import numpy as np

from scale_experiments.simulation.context import SimulationContext
from scale_experiments.simulation.model import FleetModel
from scale_experiments.simulation.network_rules import DEADLINE_MARGIN
from scale_experiments.simulation.requests import ClientRequest
from scale_experiments.simulation.router import SimulatedRouter
from scale_experiments.simulation.statistics import CountedEvent

KEY_BATCH_SIZE = 4096  # number of keys drawn at once


def key_of(rank: int) -> str:
    """Return the key of the object with this popularity rank; rank 0 is the most popular one."""
    return f"page:{rank}"


class KeyGenerator:
    """Draws random keys from a Zipf-Mandelbrot distribution.

    The weight of the k-th most popular key, from k = 1, is (k + rank_offset) ** -zipf_exponent.
    """

    def __init__(self, model: FleetModel, seed: int) -> None:
        ranks = np.arange(1, model.objects + 1, dtype=np.float64) + model.rank_offset
        weights = ranks**-model.zipf_exponent
        self._cumulative = np.cumsum(weights / weights.sum())
        self._generator = np.random.default_rng(seed)
        self._drawn: list[int] = []

    def draw(self) -> str:
        """Return the next key."""
        if not self._drawn:
            ranks = np.searchsorted(self._cumulative, self._generator.random(KEY_BATCH_SIZE))
            self._drawn = np.minimum(ranks, len(self._cumulative) - 1).tolist()
        return key_of(self._drawn.pop())


class Clients:
    """The clients of all routers.

    `routers` holds the running router of each index. The fleet replaces a stopped router in it, so that a
    retry goes to the replacement.
    """

    def __init__(self, context: SimulationContext, seed: int, routers: Sequence[SimulatedRouter]) -> None:
        self._demand = 1.0  # multiple of the model's request rate
        self._context = context
        self._keys = KeyGenerator(context.model, seed)
        self._routers = routers
        self._request_numbers = itertools.count()

    def set_demand(self, factor: float) -> None:
        """Scale the model's request rate; at each router this takes effect after the next request."""
        self._demand = factor

    def start(self, router: SimulatedRouter) -> None:
        """Send requests to a router until it is stopped; they arrive as a Poisson process."""
        rate = self._context.model.requests_per_s * self._demand
        self._context.events.schedule(self._context.random.expovariate(rate), self._arrive, router)

    def retry(self, router_index: int, request: ClientRequest) -> None:
        """Schedule a retry of a request that was not served, unless its client has used up its attempts."""
        context = self._context
        if request.requests_sent >= context.model.client_attempts:
            return
        backoff = context.random.uniform(*context.model.client_backoff) * 2 ** (request.requests_sent - 1)
        context.events.schedule(backoff, self._send, router_index, request)

    def _arrive(self, router: SimulatedRouter) -> None:
        if not router.is_running:
            return
        self.start(router)
        context = self._context
        key = self._keys.draw()
        is_write = context.random.random() < context.model.write_share
        now = context.events.now
        context.statistics.count_for_client(CountedEvent.CLIENT_REQUEST, router.location.region, now)
        self._send(router.index, ClientRequest(key, is_write, now))

    def _send(self, router_index: int, request: ClientRequest) -> None:
        request.mark_sent()
        request_id = f"{next(self._request_numbers):016x}"
        time_left = self._context.random.uniform(*self._context.model.client_timeout) - DEADLINE_MARGIN
        self._routers[router_index].accept(request_id, request, time_left)
