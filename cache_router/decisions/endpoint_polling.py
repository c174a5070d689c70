"""When the router calls discovery again after a call for the endpoint list has failed.

The router must know each change of the list within the time that `settings.WatchBudget` divides. All routers
lose discovery at the same time, so the backoff between their calls is exponential and jittered.
"""

import random

from cache_router.settings import MIN_BACKOFF, Settings

BACKOFF_JITTER = (0.2, 1.0)  # factors of a backoff, so that routers do not call at the same time


class EndpointPoller:
    """The backoff between calls; times are in seconds."""

    def __init__(self, settings: Settings, generator: random.Random, now: float) -> None:
        self._settings = settings
        self._random = generator
        self._budget = settings.watch_budget
        self._poll_due = now + self._budget.poll_cycle  # latest start of the next call
        self._longest_wait = self._budget.max_backoff  # after a failure, even when the next call is due
        self._forget_failures()

    def on_update(self, is_cached: bool, now: float) -> None:
        """An update arrived; unless the list was cached, it shows that discovery is reachable."""
        self._poll_due = now + self._budget.poll_cycle
        self._longest_wait = self._budget.max_backoff
        if not is_cached:
            self._forget_failures()

    def on_address_changed(self, now: float) -> None:
        """Forget the failures of the old address, so that they do not delay calls to the new one."""
        self._forget_failures()
        self._poll_due = now + self._budget.address_change_cycle
        self._longest_wait = MIN_BACKOFF

    def on_failure(self, now: float) -> float:
        """Count a failed call; return the seconds after which to call again."""
        self.failures += 1
        longest = max(self._longest_wait, self._time_until_due(now))
        jittered = min(self._exponential_backoff, longest) * self._random.uniform(*BACKOFF_JITTER)
        backoff = max(MIN_BACKOFF, jittered)
        self._double_backoff()
        self._poll_due = now + backoff + self._budget.poll_cycle
        return backoff

    def _forget_failures(self) -> None:
        """Start again with half the overload window as the backoff."""
        self.failures = 0  # consecutive
        self._set_exponential_backoff(self._settings.overload_window / 2)

    def _double_backoff(self) -> None:
        """Double the backoff; a power of the number of failures would leave the range of a float."""
        self._set_exponential_backoff(2 * self._exponential_backoff)

    def _set_exponential_backoff(self, seconds: float) -> None:
        """Set the backoff after the next failure, which is bounded by the slow start's duration."""
        self._exponential_backoff = min(self._settings.slow_start_duration, seconds)

    def _time_until_due(self, now: float) -> float:
        """Seconds until the next call must have started, for the changes that it returns to be known in time.

        The time that the failed call took counts, as discovery may have become reachable just after its
        start. Where updates are pushed, the backoff alone is bounded.
        """
        if self._settings.must_subscribe:
            return self._poll_due - now
        return self._budget.max_backoff
