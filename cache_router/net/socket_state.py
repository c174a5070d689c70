"""What the kernel says of a socket that the event loop has not looked at yet."""

from __future__ import annotations

import asyncio
import select


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Whether bytes or an end wait on a socket that the event loop has not looked at yet."""
    return bool(poll_events(transport, select.POLLIN))


def is_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Whether the peer has closed or reset, whatever it sent before that waits unread."""
    return bool(
        poll_events(transport, select.POLLRDHUP) & (select.POLLRDHUP | select.POLLHUP | select.POLLERR)
    )


def poll_events(transport: asyncio.BaseTransport, events: int) -> int:
    """What the kernel says of a socket now."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return select.POLLHUP
    poll = select.poll()
    poll.register(descriptor, events)
    return sum(found for _, found in poll.poll(0))
