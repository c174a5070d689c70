"""Deadlines for the steps of a graceful shutdown."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from cache_router.settings import Settings

# Seconds after SIGTERM during which connections are still accepted. The platform sends new ones for another
# 0.2 to 0.4 s; the remaining time is a margin.
ACCEPT_AFTER_SIGTERM = 0.5
# The platform sends SIGKILL no earlier than SIGKILL_MARGIN seconds after the longest client timeout of the
# settings, counted from SIGTERM. A timeout of more than MAX_DRAIN_DEADLINE seconds counts as
# MAX_DRAIN_DEADLINE.
MAX_DRAIN_DEADLINE = 3.0
SIGKILL_MARGIN = 0.7
# Seconds before SIGKILL at which every request has its final answer, and at which the last connection is
# closed. These steps may be late when other processes keep the core busy.
ANSWER_MARGIN = 0.2
CLOSE_MARGIN = 0.1


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """Deadlines for the steps of a graceful shutdown, in seconds after SIGTERM."""

    accept_until: float  # new client connections are accepted until then
    answer_until: float  # every request has its final answer by then
    close_until: float  # every client connection is closed by then
    sigkill_at: float  # earliest time at which the platform kills the process

    @classmethod
    def from_settings(cls, settings: Settings) -> Self:
        """Return the schedule, which ends before SIGKILL and depends on the longest client timeout."""
        longest = max(each.client_timeout for each in settings.classes.values())
        sigkill_at = min(longest, MAX_DRAIN_DEADLINE) + SIGKILL_MARGIN
        return cls(
            accept_until=ACCEPT_AFTER_SIGTERM,
            answer_until=sigkill_at - ANSWER_MARGIN,
            close_until=sigkill_at - CLOSE_MARGIN,
            sigkill_at=sigkill_at,
        )
