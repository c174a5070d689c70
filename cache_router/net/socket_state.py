"""What the kernel says of a socket that the event loop has not looked at yet."""

from __future__ import annotations

import asyncio
import select


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes or an end wait on a socket that the event loop has not looked at yet."""
    return bool(waiting(transport, select.POLLIN))


def is_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset, whatever it sent before that waits unread."""
    return bool(waiting(transport, select.POLLRDHUP) & (select.POLLRDHUP | select.POLLHUP | select.POLLERR))


def waiting(transport: asyncio.BaseTransport, events: int) -> int:
    """What the kernel says of a socket now."""
    number = transport.get_extra_info("socket").fileno()
    if number < 0:
        return select.POLLHUP
    poll = select.poll()
    poll.register(number, events)
    return sum(found for _, found in poll.poll(0))
