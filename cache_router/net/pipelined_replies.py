"""The replies to the commands of one connection, in the order of the commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from cache_router.net.reply_memory import ReplyMemory


@dataclass(slots=True, eq=False)
class PipelinedReply:
    """The reply to one command."""

    request_id: str | None = None  # id of the request in the dispatcher, if there is one
    data: bytes | None = None  # encoded reply, or None while it is pending
    waiting_bytes: int = 0  # bytes of `data` that are counted as waiting

    def start_request(self, request_id: str) -> None:
        """Record the id of the request that this reply answers."""
        self.request_id = request_id

    def reject_request(self) -> None:
        """Record that the dispatcher has not accepted the request."""
        self.request_id = None

    def complete(self, data: bytes) -> None:
        """Set the bytes of the reply."""
        self.data = data


class ReplyQueue:
    """Replies that have not been written; one that is complete waits for those ahead of it."""

    def __init__(self, memory: ReplyMemory) -> None:
        """Create an empty queue; `memory` counts the waiting replies of all queues."""
        self._memory = memory
        self._replies: deque[PipelinedReply] = deque()
        self._complete: list[bytes] = []  # replies that may be written, as no pending one is ahead of them

    def __len__(self) -> int:
        """Return the number of replies that are pending, or wait behind a pending one."""
        return len(self._replies)

    def add(self) -> PipelinedReply:
        """Add the reply to the next command."""
        reply = PipelinedReply()
        self._replies.append(reply)
        return reply

    def complete(self, reply: PipelinedReply, data: bytes) -> None:
        """Complete a reply; it may be written once those ahead of it are complete."""
        reply.complete(data)
        if self._replies and reply is not self._replies[0]:
            self._memory.add(len(data))
            reply.waiting_bytes = len(data)
        while self._replies and (complete := self._replies[0].data) is not None:
            self._memory.remove(self._replies.popleft().waiting_bytes)
            self._complete.append(complete)

    def take_complete(self) -> bytes:
        """Return the replies that may be written, and remove them."""
        data = b"".join(self._complete)
        self._complete.clear()
        return data

    def clear(self) -> Iterator[str]:
        """Discard all replies; return the ids of the requests whose replies are pending."""
        pending = [reply.request_id for reply in self._replies if reply.data is None]
        self._memory.remove(sum(reply.waiting_bytes for reply in self._replies))
        self._replies.clear()
        self._complete.clear()
        return (request_id for request_id in pending if request_id is not None)
