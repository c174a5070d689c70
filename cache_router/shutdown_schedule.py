"""When the steps of a graceful shutdown end."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

from cache_router.settings import Settings

# seconds after SIGTERM in which connections are still accepted: the platform sends new ones for another 0.2
# to 0.4 s, and a margin is added
ACCEPT_AFTER_SIGTERM = 0.5
# The platform's protocol: SIGKILL comes no earlier than SIGKILL_MARGIN seconds after the longest client
# timeout of the settings. A timeout of more than MAX_DRAIN_DEADLINE seconds counts as MAX_DRAIN_DEADLINE.
MAX_DRAIN_DEADLINE = 3.0
SIGKILL_MARGIN = 0.7
# seconds before SIGKILL by which every request is answered, and by which the last connection is closed: these
# steps may be late when other processes keep the core busy
ANSWER_MARGIN = 0.2
CLOSE_MARGIN = 0.1


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """When the steps of a graceful shutdown end, in seconds after SIGTERM."""

    accept_until: float  # new client connections are accepted
    answer_until: float  # every request has its final answer
    close_until: float  # every client connection is closed
    sigkill_at: float  # the platform may kill the process

    @classmethod
    def from_settings(cls, settings: Settings) -> Self:
        """The schedule that ends before the earliest SIGKILL, which depends on the longest client timeout."""
        longest = max(each.client_timeout for each in settings.classes.values())
        sigkill_at = min(longest, MAX_DRAIN_DEADLINE) + SIGKILL_MARGIN
        return cls(
            accept_until=ACCEPT_AFTER_SIGTERM,
            answer_until=sigkill_at - ANSWER_MARGIN,
            close_until=sigkill_at - CLOSE_MARGIN,
            sigkill_at=sigkill_at,
        )
