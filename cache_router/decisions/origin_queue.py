"""Requests that wait for capacity at the origin, or for any server at all: by priority, then by age."""

import heapq
from typing import NamedTuple

from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server

# multiples of the origin's usual latency that must be left before the deadline of a request
FETCH_LATENCIES_LEFT = 2.0  # a fetch that its client cancels is not even stored in a cache
WRITE_LATENCIES_LEFT = 1.0  # a write stores nothing in a cache


def latest_start(pending: PendingRequest, origin: Server | None) -> float:
    """The time, on the router's clock, from which an answer of the origin is expected after the deadline."""
    if origin is None:
        return pending.deadline
    latencies = WRITE_LATENCIES_LEFT if pending.request.is_write else FETCH_LATENCIES_LEFT
    return pending.deadline - latencies * origin.concurrency.latency


class QueueEntry(NamedTuple):
    """A request in the queue; entries are served in ascending order."""

    negated_priority: float  # the priority weight, negated: the highest is served first
    sequence_number: int  # in the order of arrival, so that no two entries are equal
    pending: PendingRequest


class OriginQueue:
    """A priority queue; an entry whose request is no longer queued is void, and dropped when it is found."""

    def __init__(self) -> None:
        self._heap: list[QueueEntry] = []
        self._pushed_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, pending: PendingRequest) -> None:
        """Queue a request; priority weights keep writes from waiting behind misses."""
        pending.mark_queued()
        self._pushed_count += 1
        negated_priority = -pending.request_class.priority_weight
        heapq.heappush(self._heap, QueueEntry(negated_priority, self._pushed_count, pending))

    def pop(self) -> PendingRequest | None:
        """Take the first request, None when the queue is empty."""
        while self._heap:
            pending = heapq.heappop(self._heap).pending
            if pending.is_queued:
                pending.mark_dequeued()
                return pending
        return None

    def drain(self) -> list[PendingRequest]:
        """Empty the queue, and return the requests that waited in it, in their order."""
        queued = [entry.pending for entry in sorted(self._heap) if entry.pending.is_queued]
        self._heap = []
        for pending in queued:
            pending.mark_dequeued()
        return queued

    def overdue(self, origin: Server | None, now: float) -> list[PendingRequest]:
        """The queued requests for which it is too late to be sent."""
        queued = (entry.pending for entry in self._heap if entry.pending.is_queued)
        return [pending for pending in queued if now >= latest_start(pending, origin)]

    def drop_void_entries(self) -> None:
        """Drop void entries, which would accumulate behind those of higher priority."""
        self._heap = [entry for entry in self._heap if entry.pending.is_queued]
        heapq.heapify(self._heap)
