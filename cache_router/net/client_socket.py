"""The socket of a client's connection: its state in the kernel, and its end."""

from __future__ import annotations

import asyncio

from cache_router.net.address import Address
from cache_router.net.socket_state import has_unread_bytes, is_hung_up

CLOSE_TIMEOUT = 0.5  # seconds that a closing connection waits for its client to read the last reply


class ClientSocket(asyncio.BufferedProtocol):
    """A protocol of the event loop with queries of its socket; subclasses set `_transport`."""

    _transport: asyncio.Transport
    _reading_enabled = True
    _is_lost = False  # whether the event loop has reported the end of the connection

    def mark_lost(self) -> None:
        """Record the end of the connection; its transport can no longer be used."""
        self._is_lost = True

    def set_reading(self, enabled: bool) -> bool:
        """Read from the socket or pause reading; return whether this is a change."""
        if enabled == self._reading_enabled or self._transport.is_closing():
            return False
        self._reading_enabled = enabled
        if enabled:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()
        return True

    @property
    def client_address(self) -> Address | None:
        """The address of the client, or None if it had disconnected before its connection was accepted."""
        address = self._transport.get_extra_info("peername")
        return Address(*address) if address else None

    def has_unread_input(self) -> bool:
        """Return whether a command may wait in the socket."""
        return has_unread_bytes(self._transport)

    def unsent_size(self) -> int:
        """Return the number of bytes of replies that are still buffered."""
        return self._transport.get_write_buffer_size()

    def has_unsent_output(self) -> bool:
        """Return whether a part of a reply is still buffered."""
        return bool(self.unsent_size())

    def has_pending_io(self) -> bool:
        """Return whether a part of a reply is buffered, or a new command may wait in the socket."""
        return self.has_unsent_output() or self.has_unread_input()

    def is_reading(self) -> bool:
        """Return whether the event loop reads from the socket."""
        return self._transport.is_reading()

    def is_hung_up(self) -> bool:
        """Return whether the client has closed or reset the connection, or the router has closed it.

        This asks the kernel. The end of the stream follows all input, so that the event loop reads it late,
        or never while reading is paused.
        """
        return is_hung_up(self._transport)

    def close(self) -> None:
        """Close once the buffered replies have been sent, or after CLOSE_TIMEOUT at the latest."""
        self._transport.close()
        if self.has_unsent_output():
            # A client that does not read its replies would hold the descriptor until its process ends.
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self._abort_unless_lost)

    def _abort_unless_lost(self) -> None:
        if not self._is_lost:
            self._transport.abort()
