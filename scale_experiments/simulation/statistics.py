"""Counts and latencies of a simulated fleet."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from enum import StrEnum, auto

from scale_experiments.simulation.event_queue import EventQueue

# Time after which a client request is served, or its client has used up its attempts.
SETTLING_SECONDS = 3


class CountedEvent(StrEnum):
    """The events that are counted. A client request is sent to routers as one or more requests."""

    CLIENT_REQUEST = auto()
    REQUEST = auto()
    SERVED = auto()
    REJECTED = auto()
    FAILED = auto()
    ATTEMPT = auto()  # attempt at a cache server
    ORIGIN_ATTEMPT = auto()
    CONNECT = auto()
    CONNECT_FAILED = auto()
    HANDSHAKE = auto()
    NOT_SENT = auto()
    TIMEOUT = auto()
    MISS = auto()


class EventTally:
    """Counts of each event since the last reset, in total and for each second."""

    __slots__ = ("by_second", "totals")

    def __init__(self) -> None:
        self.totals = dict.fromkeys(CountedEvent, 0)
        self.by_second: dict[CountedEvent, list[int]] = {event: [] for event in CountedEvent}

    def add(self, event: CountedEvent, second: int) -> None:
        """Count one event in the second with this number; seconds are numbered from 0."""
        self.totals[event] += 1
        counts = self.by_second[event]
        counts.extend(itertools.repeat(0, second + 1 - len(counts)))
        counts[second] += 1

    def served_by_second(self, seconds: int) -> list[float]:
        """Return the served share of the client requests made in each of the first `seconds` seconds."""
        made = self.by_second[CountedEvent.CLIENT_REQUEST][:seconds]
        served = self.by_second[CountedEvent.SERVED] + [0] * len(made)
        return [s / m if m else 1.0 for s, m in zip(served, made, strict=False)]

    def served_share(self, seconds: int) -> float:
        """Return the served share of the client requests made in the first `seconds` seconds."""
        served = sum(self.by_second[CountedEvent.SERVED][:seconds])
        return served / max(1, sum(self.by_second[CountedEvent.CLIENT_REQUEST][:seconds]))


class FleetStatistics:
    """Counts and latencies since the last reset.

    Events of clients whose routers are in a tracked region are also counted in `tracked`.
    """

    def __init__(self, events: EventQueue) -> None:
        self._tracked_regions: set[int] = set()
        self.requests_since_start = 0  # requests accepted by routers; not cleared by reset()
        self.answers_since_start = 0  # final answers of routers; not cleared by reset()
        self._events = events
        self.reset()

    def reset(self) -> None:
        """Restart the statistics."""
        self.counted_from = self._events.now
        self._all = EventTally()
        self.tracked = EventTally()
        self.latencies: list[float] = []  # seconds from a client request until it was served
        self.servers_used: list[int] = []  # cache servers that one router used within one interval

    @property
    def counts(self) -> dict[CountedEvent, int]:
        """Counts of each event since the last reset."""
        return self._all.totals

    def track_region(self, region: int) -> None:
        """Start to count events of clients of this region's routers also in `tracked`."""
        self._tracked_regions.add(region)

    def count(self, event: CountedEvent) -> None:
        """Count one event now."""
        self._all.add(event, int(self._events.now - self.counted_from))

    def count_for_client(self, event: CountedEvent, region: int, at: float) -> None:
        """Count one event of a client of this region's routers, in the second that contains the time `at`.

        Events before the last reset are not counted.
        """
        if at < self.counted_from:
            return
        second = int(at - self.counted_from)
        self._all.add(event, second)
        if region in self._tracked_regions:
            self.tracked.add(event, second)

    def request_accepted(self, region: int) -> None:
        """Count a request that a router of this region has accepted."""
        self.requests_since_start += 1
        self.count_for_client(CountedEvent.REQUEST, region, self._events.now)

    def request_served(self, region: int, created_at: float) -> None:
        """Count a request that a router of this region has served.

        `created_at` is the time of the client request. The count goes to that second, so that the served
        share can be determined for the client requests of each second.
        """
        self.answers_since_start += 1
        self.count_for_client(CountedEvent.SERVED, region, created_at)
        self.latencies.append(self._events.now - created_at)

    def request_not_served(self, outcome: CountedEvent, region: int) -> None:
        """Count a request that a router of this region has rejected or failed."""
        self.answers_since_start += 1
        self.count_for_client(outcome, region, self._events.now)

    def record_servers_used(self, counts: Iterable[int]) -> None:
        """Record how many cache servers each router used within one interval."""
        self.servers_used.extend(counts)

    def served_by_second(self) -> list[float]:
        """Return the served share of the client requests made in each second, except unsettled seconds.

        The last `SETTLING_SECONDS` are unsettled: client requests made in them may still be retried.
        """
        return self._all.served_by_second(self._settled_seconds())

    def served_share(self) -> float:
        """Return the served share of client requests made during the settled seconds."""
        return self._all.served_share(self._settled_seconds())

    def tracked_served_share(self) -> float:
        """Return the served share of client requests made in tracked regions during the settled seconds."""
        return self.tracked.served_share(self._settled_seconds())

    def _settled_seconds(self) -> int:
        return max(0, int(self._events.now - self.counted_from) - SETTLING_SECONDS)
