"""Selector of the event loop that bounds the work of one turn, and knows since when input has waited.

A turn of the event loop handles what one call of `select` returns. `FairSelector` returns a bounded number of
descriptors, in rotation, so that no descriptor waits for more than one round of the others.
"""

from __future__ import annotations

import selectors
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from _typeshed import FileDescriptorLike

MAX_EVENTS_PER_TURN = 16  # ready descriptors; the others are handled in later turns
# Seconds from which a call of `select` counts as having waited. A call that finds ready descriptors returns
# sooner.
MIN_WAIT = 0.0002
MAX_WAKEUP_DELAY = (
    0.005  # seconds after its timeout at which a call of `select` returns, unless it is held up
)

ReadyEvent = tuple[selectors.SelectorKey, int]


class LoopTurns(Protocol):
    """Times of the turns of the event loop, in seconds of the monotonic clock."""

    @property
    def started_at(self) -> float:
        """Start of the present turn."""

    @property
    def lag(self) -> float:
        """Time for which some descriptor had been ready at the start of this turn and of the previous one."""

    def ready_since(self, descriptor: int, /) -> float:
        """Return the earliest time at which the input of a descriptor of this turn can have arrived."""


class UnmeasuredTurns:
    """The turns of an event loop without a `FairSelector`: input counts as having arrived just now."""

    lag = 0.0

    @property
    def started_at(self) -> float:
        """Start of the present turn, which is not known: the present time."""
        return time.monotonic()

    def ready_since(self, _descriptor: int) -> float:
        """Return the present time."""
        return time.monotonic()


class FairSelector(selectors.DefaultSelector):
    """Returns at most MAX_EVENTS_PER_TURN ready descriptors for a turn, and measures the turns.

    Attributes:
        started_at: Start of the present turn.
        lag: Time for which some descriptor had been ready at the start of this turn and of the previous one.
            A single long turn is no lag.
        on_turn_ended: Called at the end of each turn with its length in seconds.
    """

    def __init__(self) -> None:
        """Create a selector without descriptors."""
        super().__init__()
        self.started_at = time.monotonic()
        self.lag = 0.0
        self._last_wait = 0.0  # longest time for which a descriptor of the previous turn had been ready
        self.on_turn_ended: Callable[[float], None] = lambda _: None
        self._default_ready_since = self.started_at
        # earliest times of arrival of descriptors that were ready before the last call of `select`
        self._selected_since: dict[int, float] = {}
        self._deferred_since: dict[int, float] = {}
        self._last_descriptor = -1  # the last one of the previous turn, after which the rotation continues

    def select(self, timeout: float | None = None) -> list[ReadyEvent]:
        """End the present turn, wait for ready descriptors, and return those of the next turn."""
        ended_at = time.monotonic()
        self.on_turn_ended(ended_at - self.started_at)
        ready = super().select(timeout)
        now = time.monotonic()
        self._default_ready_since = self._earliest_arrival(ended_at, now, timeout)
        self.started_at = now
        self._selected_since, self._deferred_since = self._deferred_since, {}
        longest_wait = now - min((self.ready_since(key.fd) for key, _ in ready), default=now)
        self.lag = min(longest_wait, self._last_wait)
        self._last_wait = longest_wait
        return ready if len(ready) <= MAX_EVENTS_PER_TURN else self._choose(ready)

    def unregister(self, fileobj: FileDescriptorLike) -> selectors.SelectorKey:
        """Unregister a file object; its descriptor may be used for another one."""
        key = super().unregister(fileobj)
        self._deferred_since.pop(key.fd, None)
        self._selected_since.pop(key.fd, None)
        return key

    def ready_since(self, descriptor: int) -> float:
        """Return the earliest time at which the input of a descriptor of this turn can have arrived."""
        return self._selected_since.get(descriptor, self._default_ready_since)

    def _earliest_arrival(self, called_at: float, now: float, timeout: float | None) -> float:
        """Return the earliest time at which what a call of `select` returns `now` can have arrived."""
        waited = now - called_at
        if waited <= MIN_WAIT:
            return self.started_at  # ready at once: it may have arrived at any time since the last call
        if timeout is not None and waited > timeout + MAX_WAKEUP_DELAY:
            return called_at  # the process was held up, and may have missed the end of its wait
        return now

    def _choose(self, ready: list[ReadyEvent]) -> list[ReadyEvent]:
        """Return the descriptors that follow the last one of the previous turn, and defer the others."""
        ready.sort(key=lambda event: (event[0].fd <= self._last_descriptor, event[0].fd))
        chosen, deferred = ready[:MAX_EVENTS_PER_TURN], ready[MAX_EVENTS_PER_TURN:]
        self._last_descriptor = chosen[-1][0].fd
        self._deferred_since = {key.fd: self.ready_since(key.fd) for key, _ in deferred}
        return chosen
