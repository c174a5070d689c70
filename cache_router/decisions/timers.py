"""Timers of one kind, with at most one active timer for each target.

A host cannot cancel a timer that has been set. Each timer therefore has a serial number. A timer that has
been replaced or cancelled is void: it still fires, and is then ignored.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from cache_router.decisions.action_buffer import ActionBuffer
from cache_router.decisions.actions import SetTimer
from cache_router.decisions.events import Timer, TimerKind


class ActiveTimer(NamedTuple):
    """A timer that has been set and is neither fired nor void."""

    serial: int
    due: float  # seconds on the router's clock


@dataclass(slots=True)
class TimerSet:
    """Sets, replaces and cancels the timers of one kind. Times are in seconds on the router's clock."""

    kind: TimerKind
    actions: ActionBuffer
    _active: dict[str, ActiveTimer] = field(default_factory=dict)  # keyed by target
    _last_serial: int = 0

    def __len__(self) -> int:
        """Return the number of active timers."""
        return len(self._active)

    def set(self, target: str, delay: float, now: float) -> None:
        """Set the timer of a target; its previous timer becomes void."""
        self._last_serial += 1
        self._active[target] = ActiveTimer(self._last_serial, now + delay)
        self.actions.add(SetTimer(delay, Timer(self.kind, target, self._last_serial)))

    def set_unless_due_earlier(self, target: str, delay: float, now: float) -> None:
        """Set the timer of a target, unless its active timer is due by then and can set the next one."""
        active = self._active.get(target)
        if active is None or active.due > now + delay:
            self.set(target, delay, now)

    def cancel(self, target: str) -> None:
        """Make the active timer of a target void, if there is one."""
        self._active.pop(target, None)

    def take(self, timer: Timer) -> bool:
        """Remove a timer that has fired; return False when the timer is void."""
        active = self._active.get(timer.target)
        if active is None or active.serial != timer.serial:
            return False
        del self._active[timer.target]
        return True
