"""Logs when the event loop is overloaded and when it no longer is."""

from __future__ import annotations

import asyncio
import logging

from cache_router.decisions.log_sampling import is_logged
from cache_router.log_limit import LogLimit
from cache_router.net.load_statistics import LoadStatistics

CHECK_INTERVAL = 1.0  # seconds between two checks
MIN_EVENTS = 10  # long turns, rejections and failed calls between two checks that count as an overload
log = logging.getLogger(__name__)


class LoadMonitor:
    """Compares the counters at intervals; an overload that lasts is logged at growing intervals."""

    def __init__(self, statistics: LoadStatistics, log_limit: LogLimit) -> None:
        """Create a monitor; `log_limit` counts the lines that were not logged."""
        self._statistics = statistics
        self._log_limit = log_limit
        self._last_events = 0
        self._overloaded_checks = 0  # number of consecutive checks that found an overload

    async def run(self) -> None:
        """Check every CHECK_INTERVAL until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            self.check()

    def check(self) -> None:
        """Log a change of state, or an overload that lasts."""
        events = self._statistics.overload_events
        is_overloaded = events - self._last_events >= MIN_EVENTS
        self._last_events = events
        if is_overloaded:
            self._overloaded_checks += 1
            if is_logged(self._overloaded_checks):
                log.warning("event loop is overloaded: %s", self._summary())
        elif self._overloaded_checks:
            log.info("event loop is no longer overloaded: %s", self._summary())
            self._overloaded_checks = 0

    def _summary(self) -> str:
        return f"{self._statistics}, {self._log_limit.omitted_lines} log lines omitted, all since the start"
