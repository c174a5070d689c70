"""The load that a cache server reports to the routers."""

from __future__ import annotations

import math

from cache_router.decisions.events import LoadReport

SERVICE_TIME_SMOOTHING = 0.1  # weight of the last request in the reported service time


class LoadReporter:
    """Keeps the load report that a cache server attaches to its responses, and renews it at intervals."""

    __slots__ = ("_interval", "_report", "_reported_at", "_service_time")

    def __init__(self, interval: float) -> None:
        self._interval = interval  # seconds after which a report is renewed
        self._report = LoadReport(0.0, 0.0)
        self.restart()

    def restart(self) -> None:
        """Forget the service times; the next report is a new one."""
        self._service_time = 0.0  # seconds, smoothed; 0 before the first service
        self._reported_at = -math.inf

    def add_service_time(self, seconds: float) -> None:
        """Include the service time of one attempt in the smoothed one."""
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
