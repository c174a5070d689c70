"""The state of a socket in the kernel, which the event loop may not have read yet, and acknowledgements."""

from __future__ import annotations

import asyncio
import select
import socket
from contextlib import suppress


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """Return whether bytes, or the end of the stream, can be read."""
    return bool(_poll_events(transport, select.POLLIN))


def is_hung_up(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed or reset the connection, even if earlier bytes are unread."""
    hung_up = select.POLLRDHUP | select.POLLHUP | select.POLLERR
    return bool(_poll_events(transport, select.POLLRDHUP) & hung_up)


def acknowledge_received_bytes(transport: asyncio.BaseTransport) -> None:
    """Let the kernel acknowledge the received bytes now instead of up to 40 ms later.

    A peer without TCP_NODELAY sends a further small write only after the acknowledgement. The option is not
    permanent, so that this is called again for later bytes. A socket without the option is left as it is.
    """
    with suppress(OSError):
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_QUICKACK, 1)


def _poll_events(transport: asyncio.BaseTransport, events: int) -> int:
    """Return the events of a transport's socket that poll(2) reports now: the requested ones, and errors.

    A socket that is already closed counts as hung up.
    """
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return select.POLLHUP
    poll = select.poll()
    poll.register(descriptor, events)
    return sum(found for _, found in poll.poll(0))
