"""Queue of requests that wait for capacity at the origin, or for any server at all."""

import heapq
from typing import NamedTuple

from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server

# time that must be left before the deadline of a request, as a multiple of the origin's usual latency
FETCH_LATENCIES_LEFT = 2.0  # leaves a margin: a fetch that its client cancels is not stored in a cache
WRITE_LATENCIES_LEFT = 1.0  # leaves no margin: a write stores nothing in a cache


def latest_start(pending: PendingRequest, origin: Server | None) -> float:
    """Return the time, on the router's clock, from which it is too late to send a request to the origin."""
    if origin is None:
        return pending.deadline
    latencies = WRITE_LATENCIES_LEFT if pending.request.is_write else FETCH_LATENCIES_LEFT
    return pending.deadline - latencies * origin.concurrency.latency


class QueueEntry(NamedTuple):
    """A queued request. Entries are served in ascending order: by priority, then by age."""

    negated_priority: float  # negated priority weight, so that the highest is served first
    sequence_number: int  # position in the order of arrival; makes every entry unique
    pending: PendingRequest


class OriginQueue:
    """A priority queue. An entry is void, and dropped when found, if its request is no longer queued."""

    def __init__(self) -> None:
        self._heap: list[QueueEntry] = []
        self._pushed_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, pending: PendingRequest) -> None:
        """Add a request; the priority weights keep writes from waiting behind misses."""
        pending.mark_queued()
        self._pushed_count += 1
        negated_priority = -pending.request_class.priority_weight
        heapq.heappush(self._heap, QueueEntry(negated_priority, self._pushed_count, pending))

    def pop(self) -> PendingRequest | None:
        """Remove and return the first request; None when the queue is empty."""
        while self._heap:
            pending = heapq.heappop(self._heap).pending
            if pending.is_queued:
                pending.mark_dequeued()
                return pending
        return None

    def drain(self) -> list[PendingRequest]:
        """Empty the queue, and return its requests in the order in which they would have been served."""
        queued = [entry.pending for entry in sorted(self._heap) if entry.pending.is_queued]
        self._heap = []
        for pending in queued:
            pending.mark_dequeued()
        return queued

    def overdue(self, origin: Server | None, now: float) -> list[PendingRequest]:
        """Return the queued requests that it is too late to send."""
        queued = (entry.pending for entry in self._heap if entry.pending.is_queued)
        return [pending for pending in queued if now >= latest_start(pending, origin)]

    def drop_void_entries(self) -> None:
        """Drop void entries, which would accumulate behind entries of higher priority."""
        self._heap = [entry for entry in self._heap if entry.pending.is_queued]
        heapq.heapify(self._heap)
