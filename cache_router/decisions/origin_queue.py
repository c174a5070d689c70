"""Requests that wait for capacity at the origin, or for any server at all: by priority, then by age."""

import heapq

from cache_router.decisions.pending_request import PendingRequest
from cache_router.decisions.server import Server

# of the origin's usual latency that must be left: a fetch given up midway is not even stored
FETCH_LATENCIES_LEFT = 2.0
WRITE_LATENCIES_LEFT = 1.0  # a write stores nothing in a cache


def latest_start(pending: PendingRequest, origin: Server | None) -> float:
    """From this time on no answer of the origin would be in time; seconds on the router's clock."""
    if origin is None:
        return pending.deadline
    latencies = WRITE_LATENCIES_LEFT if pending.request.is_write else FETCH_LATENCIES_LEFT
    return pending.deadline - latencies * origin.concurrency.latency


class OriginQueue:
    """A priority queue; entries whose request is no longer queued are dropped when they are met."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, PendingRequest]] = []
        self._pushed = 0

    def __len__(self) -> int:
        return len(self._heap)

    def push(self, pending: PendingRequest) -> None:
        """Queue a request; without priority weights writes would wait behind misses."""
        pending.is_queued = True
        self._pushed += 1
        heapq.heappush(self._heap, (-pending.request_class.priority_weight, self._pushed, pending))

    def pop(self) -> PendingRequest | None:
        """Take the first request; None when the queue is empty."""
        while self._heap:
            pending = heapq.heappop(self._heap)[2]
            if pending.is_queued:
                pending.is_queued = False
                return pending
        return None

    def pop_all(self) -> list[PendingRequest]:
        """Empty the queue; the requests in their order, still marked as queued."""
        entries = sorted(self._heap)
        self._heap = []
        return [pending for _, _, pending in entries]

    def overdue(self, origin: Server | None, now: float) -> list[PendingRequest]:
        """The requests that can no longer be answered in time."""
        queued = (entry[2] for entry in self._heap if entry[2].is_queued)
        return [pending for pending in queued if now >= latest_start(pending, origin)]

    def drop_ended(self) -> None:
        """Drop entries of requests long ended, which would pile up behind those of higher priority."""
        self._heap = [entry for entry in self._heap if entry[2].is_queued]
        heapq.heapify(self._heap)
