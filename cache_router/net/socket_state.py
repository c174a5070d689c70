"""What the kernel knows of a socket, and the event loop may not have seen yet."""

from __future__ import annotations

import asyncio
import select


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes, or the end of the stream, wait to be read."""
    return bool(poll_events(transport, select.POLLIN))


def is_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset the connection, also if bytes that it sent before are unread."""
    hung_up = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return bool(poll_events(transport, select.POLLRDHUP) & hung_up)


def poll_events(transport: asyncio.BaseTransport, events: int) -> int:
    """The poll(2) events that hold for a transport's socket now, of those asked for and of errors.

    A socket that is closed already counts as hung up.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return select.POLLHUP
    poll = select.poll()
    poll.register(descriptor, events)
    return sum(found for _, found in poll.poll(0))
