"""Load reports of a modelled cache server."""

from __future__ import annotations

import math

from cache_router.decisions.events import LoadReport

SERVICE_TIME_SMOOTHING = 0.1  # weight of the latest attempt in the smoothed service time


class LoadReporter:
    """Produces the load report that a cache server attaches to its responses, and renews it periodically."""

    __slots__ = ("_interval", "_report", "_reported_at", "_service_time")

    def __init__(self, interval: float) -> None:
        self._interval = interval  # maximum age of a report in seconds
        self._report = LoadReport(0.0, 0.0)
        self.restart()

    def restart(self) -> None:
        """Discard the service times and the current report."""
        self._service_time = 0.0  # smoothed, in seconds; 0 until an attempt was served
        self._reported_at = -math.inf

    def add_service_time(self, seconds: float) -> None:
        """Update the smoothed service time with that of one attempt."""
        if self._service_time:
            self._service_time += SERVICE_TIME_SMOOTHING * (seconds - self._service_time)
        else:
            self._service_time = seconds

    def report(self, now: float, queue_length: int) -> LoadReport:
        """Return the current report; renew it first if it is older than the interval."""
        if now - self._reported_at > self._interval:
            self._reported_at = now
            self._report = LoadReport(self._service_time, float(queue_length))
        return self._report
