"""Ejects a server after consecutive failures, for a time that grows with each failed trial.

Without it, the keys of a server that fails each attempt at once would use up the retry budget.
"""

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from cache_router.decisions.events import FAILED, AttemptStatus

CONSECUTIVE_FAILURES = 3  # malformed answers come one at a time, the failures of a dead process together
MIN_EJECTION_TIME = 0.5  # seconds; doubled with each trial that fails
EJECTION_JITTER = (0.5, 1.0)  # share of the ejection time, so that routers do not retry in step
MAX_EJECTED_SHARE = 0.5  # of the caches; when more fail the cause lies elsewhere, and too few would be left


@dataclass(slots=True, eq=False)
class FailureHistory:
    """Consecutive failures of one server, and its ejection. Times are in seconds."""

    consecutive: int = 0
    ejection_time: float = 0.0
    ejected_until: float = -math.inf

    @property
    def is_outlier(self) -> bool:
        """Whether the server is ejected, or on trial after an ejection."""
        return self.consecutive >= CONSECUTIVE_FAILURES

    def admits(self, in_flight: int, now: float) -> bool:
        """Whether an attempt may be sent: none while ejected, and one at a time on trial."""
        return now >= self.ejected_until and not (in_flight and self.consecutive >= CONSECUTIVE_FAILURES)


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
        """Count the outcome of an attempt at a cache; True when it ejects the server."""
        others = len(self._outliers) - (history in self._outliers)
        is_share_used_up = others + 1 > MAX_EJECTED_SHARE * self._cache_count
        is_absent = status is AttemptStatus.CONNECT_FAILED
        if status not in FAILED or (is_share_used_up and not is_absent):
            history.consecutive, history.ejection_time = 0, 0.0  # an ejection that runs ends in its own time
            self._outliers.discard(history)
            return False
        # nothing listens there; a router that meets it once in seconds would need long to see three failures
        history.consecutive += CONSECUTIVE_FAILURES if is_absent else 1
        if not history.is_outlier:
            return False
        if is_listed:
            self._outliers.add(history)
        if now < history.ejected_until:
            return False
        backoff = 0.0 if is_share_used_up else 2 * history.ejection_time
        history.ejection_time = min(self.max_ejection_time, max(MIN_EJECTION_TIME, backoff))
        history.ejected_until = now + history.ejection_time * self.generator.uniform(*EJECTION_JITTER)
        return True
