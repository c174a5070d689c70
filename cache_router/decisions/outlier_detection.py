"""Outlier detection: ejects a server after consecutive failures; each failed trial doubles the ejection time.

Without it, the keys of a server whose attempts all fail would use up the retry budget.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cache_router.decisions.events import FAILED, AttemptStatus

CONSECUTIVE_FAILURES = 3  # malformed answers occur singly, the failures of a dead process together
MIN_EJECTION_TIME = 0.5  # seconds; doubled with each trial that fails
EJECTION_JITTER = (0.5, 1.0)  # share of the ejection time, so that routers do not retry simultaneously
MAX_EJECTED_SHARE = 0.5  # of the caches; when more fail the cause is elsewhere, and too few would remain


@dataclass(slots=True, eq=False)
class FailureHistory:
    """Consecutive failures of one server, and its ejection. Times are in seconds."""

    consecutive: int = 0
    ejection_time: float = 0.0  # of the latest ejection, before jitter
    ejected_until: float = -math.inf

    @property
    def is_outlier(self) -> bool:
        """Whether the server is ejected, or on trial after an ejection."""
        return self.consecutive >= CONSECUTIVE_FAILURES

    def admits(self, in_flight: int, now: float) -> bool:
        """Whether an attempt may be sent: none while ejected, and one at a time on trial."""
        # compared here, as a call of is_outlier would cost on every step of the walk on the ring
        return now >= self.ejected_until and not (in_flight and self.consecutive >= CONSECUTIVE_FAILURES)

    def reset(self) -> None:
        """Forget the failures; an ejection in effect lasts until its end."""
        self.consecutive = 0
        self.ejection_time = 0.0

    def record_failure(self) -> None:
        """Count an attempt that reached the server and failed."""
        self.consecutive += 1

    def record_failed_connect(self) -> None:
        """Count a failed connect as enough failures for an ejection: nothing listens at the address.

        In a large fleet each router connects to a server seldom, and would need long to see several failures.
        """
        self.consecutive += CONSECUTIVE_FAILURES

    def eject(self, ejection_time: float, jitter: float, now: float) -> None:
        """Eject the server for `ejection_time` seconds times `jitter`."""
        self.ejection_time = ejection_time
        self.ejected_until = now + ejection_time * jitter


@dataclass(slots=True)
class OutlierDetector:
    """Ejects caches that fail, within a maximum share of all of them."""

    max_ejection_time: float  # seconds
    generator: random.Random
    _outliers: set[FailureHistory] = field(default_factory=set)
    _cache_count: int = 0

    def on_endpoint_update(self, histories: Iterable[FailureHistory]) -> None:
        """Take the histories of the caches that are ready now."""
        ready = list(histories)
        self._cache_count = len(ready)
        self._outliers = {history for history in ready if history.is_outlier}

    def record(self, history: FailureHistory, status: AttemptStatus, is_listed: bool, now: float) -> bool:
        """Count the outcome of an attempt at a cache; True when it ejects the server.

        The maximum share does not protect servers that refuse connections, as they cannot serve in any case.
        """
        is_failure = status in FAILED
        is_absent = status is AttemptStatus.CONNECT_FAILED
        is_share_used_up = is_failure and self._is_share_used_up(history)
        if not is_failure or (is_share_used_up and not is_absent):
            history.reset()
            self._outliers.discard(history)
            return False
        if is_absent:
            history.record_failed_connect()
        else:
            history.record_failure()
        if not history.is_outlier:
            return False
        if is_listed:
            self._outliers.add(history)
        if now < history.ejected_until:
            return False
        doubled = 0.0 if is_share_used_up else 2 * history.ejection_time  # no growth beyond the maximum share
        ejection_time = min(self.max_ejection_time, max(MIN_EJECTION_TIME, doubled))
        history.eject(ejection_time, self.generator.uniform(*EJECTION_JITTER), now)
        return True

    def _is_share_used_up(self, history: FailureHistory) -> bool:
        """Whether one more outlier would exceed the maximum share; the server itself does not count."""
        others = len(self._outliers) - (history in self._outliers)
        return others + 1 > MAX_EJECTED_SHARE * self._cache_count
