"""The replies to the commands of one connection, in the order of the commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from cache_router.net.reply_memory import MAX_REPLY_SIZE, ReplyMemory


@dataclass(slots=True, eq=False)
class PipelinedReply:
    """The reply to one command."""

    request_id: str | None = None  # id of the request in the dispatcher, if there is one
    data: bytes | None = None  # encoded reply, or None while it is pending
    reserved_bytes: int = 0  # memory reserved for `data`; none if it may be written at once

    def start_request(self, request_id: str) -> None:
        """Record the id of the request that this reply answers."""
        self.request_id = request_id

    def reject_request(self) -> None:
        """Record that the dispatcher has not accepted the request."""
        self.request_id = None

    def complete(self, data: bytes) -> None:
        """Set the bytes of the reply."""
        self.data = data

    def reserve(self, size: int, memory: ReplyMemory) -> None:
        """Change the memory that is reserved for the reply, in bytes."""
        if size != self.reserved_bytes:
            memory.change(self.reserved_bytes, size)
            self.reserved_bytes = size


class ReplyQueue:
    """Replies that have not been written; one that is complete waits for those ahead of it.

    Memory is reserved for a reply that has others ahead of it: for the largest one while it is pending, and
    for its size once it is complete.
    """

    def __init__(self, memory: ReplyMemory) -> None:
        """Create an empty queue; `memory` is shared by all queues."""
        self._memory = memory
        self._replies: deque[PipelinedReply] = deque()
        self._complete: list[bytes] = []  # replies that may be written, as no pending one is ahead of them

    def __len__(self) -> int:
        """Return the number of replies that are pending, or wait behind a pending one."""
        return len(self._replies)

    def has_memory(self) -> bool:
        """Return whether memory is left for the reply to another command."""
        return not self._replies or self._memory.has_room()

    def add(self) -> PipelinedReply:
        """Add the reply to the next command."""
        reply = PipelinedReply()
        if self._replies:
            reply.reserve(MAX_REPLY_SIZE, self._memory)
        self._replies.append(reply)
        return reply

    def complete(self, reply: PipelinedReply, data: bytes) -> None:
        """Complete a reply; it may be written once those ahead of it are complete."""
        reply.complete(data)
        if reply.reserved_bytes:
            reply.reserve(len(data), self._memory)
        while self._replies and (complete := self._replies[0].data) is not None:
            self._replies.popleft().reserve(0, self._memory)
            self._complete.append(complete)
        if self._replies:
            self._replies[0].reserve(0, self._memory)

    def take_complete(self) -> bytes:
        """Return the replies that may be written, and remove them."""
        data = b"".join(self._complete)
        self._complete.clear()
        return data

    def clear(self) -> Iterator[str]:
        """Discard all replies; return the ids of the requests whose replies are pending."""
        pending = [reply.request_id for reply in self._replies if reply.data is None]
        for reply in self._replies:
            reply.reserve(0, self._memory)
        self._replies.clear()
        self._complete.clear()
        return (request_id for request_id in pending if request_id is not None)
