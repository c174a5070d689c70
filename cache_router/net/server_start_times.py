"""Start times of servers on the router's clock.

The endpoint list has them in Unix time, which this machine knows only as well as its system clock is set.
That clock may be stepped at any time, or be wrong when the router starts. A server that is taken for warm too
early is overloaded by the requests of all routers, so that in doubt its age counts from when it was listed.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.endpoint import EndpointState
from cache_router.net.clock import Clock
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.settings import Settings

MAX_CLOCK_DRIFT = 0.5  # seconds by which the system clock may leave the router's before it is not trusted
# Starts that are remembered beside the listed ones: a server that is listed again has not restarted if its
# start time is the same.
MAX_UNLISTED_STARTS = 1024
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class ListedStart:
    """The start of a server. Times are in seconds."""

    listed: float  # as listed, in Unix time
    started_at: float  # on the router's clock
    first_seen_at: float  # on the router's clock
    is_from_first_list: bool  # whether it was listed when the router started
    endpoint: NetworkEndpoint  # the latest entry, with `started_at`


class ServerStartTimes:
    """Converts the start times of listed servers to the router's clock."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        """Create the start times of a router that has no list."""
        self._warm_after = settings.slow_start_duration
        self._max_notification_delay = settings.watch_budget.notification_deadline
        self._clock = clock
        self._starts: dict[str, ListedStart] = {}  # of listed servers, by name
        self._unlisted: dict[str, ListedStart] = {}  # of servers that were listed before, oldest first
        self._last_update_at: float | None = None  # time of the last list or change from discovery
        self._clock_step = clock.step()  # as of the last update

    def convert(
        self, kind: EndpointUpdateKind, endpoints: Iterable[NetworkEndpoint]
    ) -> list[NetworkEndpoint]:
        """Return the entries of an update with their start times on the router's clock.

        After a step of the system clock, further entries may be added: those of servers whose age depended on
        the clock before the step.
        """
        converted = {endpoint.entry.name: self._convert(endpoint) for endpoint in endpoints}
        step = self._clock.step()
        if abs(step - self._clock_step) > MAX_CLOCK_DRIFT:
            log.warning("system clock was stepped by %.3f s", step - self._clock_step)
            self._clock_step = step
            for endpoint in self._correct_first_starts():
                if kind is EndpointUpdateKind.DELTA or endpoint.entry.name in converted:
                    converted[endpoint.entry.name] = endpoint
        if kind is not EndpointUpdateKind.CACHED:
            self._last_update_at = self._clock.now()
        if kind is not EndpointUpdateKind.DELTA:
            self._forget(self._starts.keys() - converted.keys())
        self._forget(n for n, e in converted.items() if e.entry.state is EndpointState.REMOVED)
        return list(converted.values())

    def _convert(self, endpoint: NetworkEndpoint) -> NetworkEndpoint:
        """Return an entry with its start time, and record the latter."""
        entry = endpoint.entry
        known = self._starts.get(entry.name) or self._unlisted.pop(entry.name, None)
        if known is None and not entry.started_at:
            return endpoint  # started long ago
        if known is None or entry.started_at not in (0, known.listed):
            known = self._new_start(endpoint, known)
        endpoint = replace(endpoint, entry=replace(entry, started_at=known.started_at))
        self._starts[entry.name] = replace(known, endpoint=endpoint)
        return endpoint

    def _new_start(self, endpoint: NetworkEndpoint, previous: ListedStart | None) -> ListedStart:
        """Return the start of a server that is listed with this start time for the first time."""
        listed, now = endpoint.entry.started_at, self._clock.now()
        started_at = now - self._age(listed, now)
        if previous is not None:
            started_at = max(started_at, previous.started_at + self._clock.resolution)
        return ListedStart(listed, started_at, now, self._last_update_at is None, endpoint)

    def _forget(self, names: Iterable[str]) -> None:
        """Move the starts of servers that are no longer listed to a bounded number of earlier ones."""
        for name in names:
            start = self._starts.pop(name, None)
            if start is not None:
                self._unlisted[name] = start
        while len(self._unlisted) > MAX_UNLISTED_STARTS:
            del self._unlisted[next(iter(self._unlisted))]

    def _age(self, listed: float, now: float) -> float:
        """Return the age of a server that is listed for the first time with a start in Unix time."""
        age = max(0.0, self._clock.system_time() - listed)
        if self._last_update_at is None:
            return age
        max_age = now - self._last_update_at + self._max_notification_delay
        is_trusted = abs(self._clock.step()) <= MAX_CLOCK_DRIFT and age <= max_age
        return age if is_trusted else 0.0

    def _correct_first_starts(self) -> Iterator[NetworkEndpoint]:
        """Yield the entries of servers that may be younger by the stepped clock than by that of the start."""
        now = self._clock.now()
        for name, start in list(self._starts.items()):
            observed = now - start.first_seen_at
            age = max(observed, self._clock.system_time() - start.listed)
            if start.is_from_first_list and observed < self._warm_after and now - age > start.started_at:
                entry = replace(start.endpoint.entry, started_at=now - age)
                endpoint = replace(start.endpoint, entry=entry)
                self._starts[name] = replace(start, started_at=now - age, endpoint=endpoint)
                yield endpoint
