"""The backoff between polls for the endpoint list while discovery fails.

The router must be notified of each change of the list within the notification deadline of
`settings.WatchBudget`. All routers lose discovery at the same time. The backoff between their polls is
therefore exponential with jitter.
"""

import random

from cache_router.settings import MIN_BACKOFF, Settings

BACKOFF_JITTER = (0.2, 1.0)  # range of the factor that keeps routers from polling at the same time


class EndpointPoller:
    """Computes the backoff after each failed poll. Times are in seconds."""

    def __init__(self, settings: Settings, generator: random.Random, now: float) -> None:
        self._settings = settings
        self._random = generator
        self._budget = settings.watch_budget
        self._poll_due = now + self._budget.poll_cycle  # latest start of the next poll
        self._min_backoff_cap = self._budget.max_backoff  # cap on a backoff when the next poll is already due
        self._reset_failures()

    def on_update(self, is_cached: bool, now: float) -> None:
        """Handle an endpoint update; unless the list was cached, it proves that discovery is reachable."""
        self._poll_due = now + self._budget.poll_cycle
        self._min_backoff_cap = self._budget.max_backoff
        if not is_cached:
            self._reset_failures()

    def on_address_changed(self, now: float) -> None:
        """Reset the failures of the old address, so that they do not delay polls of the new one."""
        self._reset_failures()
        self._poll_due = now + self._budget.address_change_cycle
        self._min_backoff_cap = MIN_BACKOFF

    def on_failure(self, now: float) -> float:
        """Count a failed poll; return the backoff before the next one, in seconds."""
        self.failures += 1
        backoff_cap = max(self._min_backoff_cap, self._time_until_due(now))
        jittered = min(self._exponential_backoff, backoff_cap) * self._random.uniform(*BACKOFF_JITTER)
        backoff = max(MIN_BACKOFF, jittered)
        self._double_backoff()
        self._poll_due = now + backoff + self._budget.poll_cycle
        return backoff

    def _reset_failures(self) -> None:
        """Reset the number of failures, and the backoff to half the overload window."""
        self.failures = 0  # number of consecutive failed polls
        self._set_exponential_backoff(self._settings.overload_window / 2)

    def _double_backoff(self) -> None:
        """Double the backoff; a power of two computed from the number of failures would overflow a float."""
        self._set_exponential_backoff(2 * self._exponential_backoff)

    def _set_exponential_backoff(self, seconds: float) -> None:
        """Set the backoff for the next failure, capped at the duration of a slow start."""
        self._exponential_backoff = min(self._settings.slow_start_duration, seconds)

    def _time_until_due(self, now: float) -> float:
        """Return the seconds left to start the next poll without exceeding the notification deadline.

        The duration of the failed poll counts towards the deadline, as discovery may have become reachable
        just after the poll started. Where updates are pushed, only the backoff itself is bounded.
        """
        if self._settings.must_subscribe:
            return self._poll_due - now
        return self._budget.max_backoff
