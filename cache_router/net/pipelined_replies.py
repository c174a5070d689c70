"""The replies to the commands of one connection, in the order of the commands."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class PipelinedReply:
    """The reply to one command."""

    request_id: str | None = None  # id of the request in the dispatcher, if there is one
    data: bytes | None = None  # encoded reply, or None while it is pending

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

    def __init__(self) -> None:
        """Create an empty queue."""
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

    def on_completed(self) -> None:
        """Move the replies that precede the first pending one to those that may be written."""
        while self._replies and (data := self._replies[0].data) is not None:
            self._replies.popleft()
            self._complete.append(data)

    def take_complete(self) -> bytes:
        """Return the replies that may be written, and remove them."""
        data = b"".join(self._complete)
        self._complete.clear()
        return data

    def clear(self) -> Iterator[str]:
        """Discard all replies; return the ids of the requests whose replies are pending."""
        pending = [reply.request_id for reply in self._replies if reply.data is None]
        self._replies.clear()
        self._complete.clear()
        return (request_id for request_id in pending if request_id is not None)
