"""Requests that wait for capacity at the origin, or for any server at all: by priority, then by age."""

import heapq

from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server

# of the origin's usual latency that must be left: a cache does not even store a fetch that was cancelled
FETCH_LATENCIES_LEFT = 2.0
WRITE_LATENCIES_LEFT = 1.0  # a write stores nothing in a cache


def latest_start(pending: PendingRequest, origin: Server | None) -> float:
    """The time, on the router's clock, from which an answer of the origin is expected after the deadline."""
    if origin is None:
        return pending.deadline
    latencies = WRITE_LATENCIES_LEFT if pending.request.is_write else FETCH_LATENCIES_LEFT
    return pending.deadline - latencies * origin.concurrency.latency


class OriginQueue:
    """A priority queue; an entry whose request is no longer queued is void, and dropped when it is found."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, PendingRequest]] = []
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, pending: PendingRequest) -> None:
        """Queue a request; priority weights keep writes from waiting behind misses."""
        pending.mark_queued()
        self._pushed += 1
        heapq.heappush(self._heap, (-pending.request_class.priority_weight, self._pushed, pending))

    def pop(self) -> PendingRequest | None:
        """Take the first request, None when the queue is empty."""
        while self._heap:
            pending = heapq.heappop(self._heap)[2]
            if pending.is_queued:
                pending.mark_dequeued()
                return pending
        return None

    def drain(self) -> list[PendingRequest]:
        """Empty the queue, and return the requests that waited in it, in their order."""
        queued = [pending for _, _, pending in sorted(self._heap) if pending.is_queued]
        self._heap = []
        for pending in queued:
            pending.mark_dequeued()
        return queued

    def overdue(self, origin: Server | None, now: float) -> list[PendingRequest]:
        """The queued requests for which it is too late to be sent."""
        queued = (entry[2] for entry in self._heap if entry[2].is_queued)
        return [pending for pending in queued if now >= latest_start(pending, origin)]

    def drop_ended(self) -> None:
        """Drop void entries, which would accumulate behind those of higher priority."""
        self._heap = [entry for entry in self._heap if entry[2].is_queued]
        heapq.heapify(self._heap)
