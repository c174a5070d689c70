"""Outlier detection: ejects a server for a time after consecutive failures.

Each failed probe attempt doubles the ejection time. Without ejection, retries of requests for the keys of a
failing server would use up the retry budget.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cache_router.decisions.events import FAILED, AttemptStatus

# Consecutive failures that eject a server. Malformed responses occur singly; a dead process fails every
# attempt.
CONSECUTIVE_FAILURES = 3
MIN_EJECTION_TIME = 0.5  # seconds; doubled by each probe attempt that fails
EJECTION_JITTER = (0.5, 1.0)  # range of the factor that keeps routers from probing a server simultaneously
# Share of the ready caches. When more of them fail, the cause is not in the caches, and the remaining ones
# would be too few for the load.
MAX_EJECTED_SHARE = 0.5


@dataclass(slots=True, eq=False)
class FailureHistory:
    """Consecutive failures of one server, and its latest ejection. Times are in seconds."""

    consecutive_failures: int = 0
    ejection_time: float = 0.0  # duration of the latest ejection before jitter
    ejected_until: float = -math.inf  # end of the latest ejection on the router's clock

    @property
    def is_outlier(self) -> bool:
        """Return whether the server is ejected, or awaits the success of a probe attempt."""
        return self.consecutive_failures >= CONSECUTIVE_FAILURES

    def admits(self, in_flight: int, now: float) -> bool:
        """Return whether an attempt may be sent: none while ejected, then one probe attempt at a time."""
        # `is_outlier` is written out to save a call: this runs at every step of the walk on the hash ring
        return now >= self.ejected_until and not (
            in_flight and self.consecutive_failures >= CONSECUTIVE_FAILURES
        )

    def reset(self) -> None:
        """Reset the failures and the ejection time; an ejection in effect lasts until its end."""
        self.consecutive_failures = 0
        self.ejection_time = 0.0

    def record_failure(self) -> None:
        """Count an attempt that reached the server and failed."""
        self.consecutive_failures += 1

    def record_failed_connect(self) -> None:
        """Count a failed connect as enough failures for an ejection, as nothing listens at the address.

        In a large fleet each router connects to a server rarely. Several failures would take a long time to
        occur.
        """
        self.consecutive_failures += CONSECUTIVE_FAILURES

    def eject(self, ejection_time: float, jitter: float, now: float) -> None:
        """Eject the server for `ejection_time` seconds times `jitter`."""
        self.ejection_time = ejection_time
        self.ejected_until = now + ejection_time * jitter


@dataclass(slots=True)
class OutlierDetector:
    """Ejects failing caches, up to a maximum share of the ready ones."""

    max_ejection_time: float  # seconds
    generator: random.Random
    _outliers: set[FailureHistory] = field(default_factory=set)
    _cache_count: int = 0

    def on_endpoint_update(self, histories: Iterable[FailureHistory]) -> None:
        """Replace the tracked histories by those of the caches that are ready now."""
        ready = list(histories)
        self._cache_count = len(ready)
        self._outliers = {history for history in ready if history.is_outlier}

    def record(self, history: FailureHistory, status: AttemptStatus, is_listed: bool, now: float) -> bool:
        """Record the outcome of an attempt at a cache; return whether it ejects the server.

        A failure beyond the maximum share resets the history like a success. A failed connect does not,
        because its server cannot serve in any case.
        """
        is_failure = status in FAILED
        is_connect_failure = status is AttemptStatus.CONNECT_FAILED
        exceeds_max_share = is_failure and self._exceeds_max_share(history)
        if not is_failure or (exceeds_max_share and not is_connect_failure):
            history.reset()
            self._outliers.discard(history)
            return False
        if is_connect_failure:
            history.record_failed_connect()
        else:
            history.record_failure()
        if not history.is_outlier:
            return False
        if is_listed:
            self._outliers.add(history)
        if now < history.ejected_until:
            return False
        # Beyond the maximum share, the ejection time is the minimum.
        doubled = 0.0 if exceeds_max_share else 2 * history.ejection_time
        ejection_time = min(self.max_ejection_time, max(MIN_EJECTION_TIME, doubled))
        history.eject(ejection_time, self.generator.uniform(*EJECTION_JITTER), now)
        return True

    def _exceeds_max_share(self, history: FailureHistory) -> bool:
        """Return whether ejecting this server would exceed the maximum share."""
        others = len(self._outliers) - (history in self._outliers)
        return others + 1 > MAX_EJECTED_SHARE * self._cache_count
