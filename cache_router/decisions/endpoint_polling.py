"""When discovery is asked again after a call for the endpoint list has failed.

Every change has to be known within the time that `settings.WatchBudget` divides. All routers lose discovery
at once, so the backoff between calls grows and is jittered.
"""

import random

from cache_router.settings import MIN_BACKOFF, Settings

BACKOFF_JITTER = (0.2, 1.0)  # share of a backoff, so that routers do not call in step


class EndpointPoller:
    """The backoff between calls; times are in seconds."""

    def __init__(self, settings: Settings, generator: random.Random, now: float) -> None:
        self._settings = settings
        self._random = generator
        self._budget = settings.watch_budget
        self._poll_due = now + self._budget.poll_cycle  # the next call has begun by then
        self._longest_wait = self._budget.max_backoff  # that a failure may cost even when the call is due
        self.failures = 0  # in a row

    def on_update(self, is_cached: bool, now: float) -> None:
        """An update came, and the watch goes on; a cached list is no sign that discovery can be reached."""
        self._poll_due = now + self._budget.poll_cycle
        self._longest_wait = self._budget.max_backoff
        if not is_cached:
            self.failures = 0

    def on_address_changed(self, now: float) -> None:
        """The backoff that another discovery earned must not delay the first call to the new one."""
        self.failures = 0
        self._poll_due = now + self._budget.address_change_cycle
        self._longest_wait = MIN_BACKOFF

    def on_failure(self, now: float) -> float:
        """Count a failed call; the seconds after which to call again.

        The failed call may have begun just before discovery could be reached: whatever time it took, the next
        has begun by the end of the cycle, or what it would bring is known too late.
        """
        self.failures += 1
        window = self._settings.overload_window
        backoff = min(self._settings.slow_start_duration, window * 2.0 ** (self.failures - 2))
        time_left = self._poll_due - now if self._settings.must_subscribe else self._budget.max_backoff
        backoff = min(backoff, max(self._longest_wait, time_left)) * self._random.uniform(*BACKOFF_JITTER)
        backoff = max(MIN_BACKOFF, backoff)
        self._poll_due = now + backoff + self._budget.poll_cycle
        return backoff
