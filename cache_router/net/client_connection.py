"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import Protocol, cast

from cache_router.net.address import Address
from cache_router.net.command import MAX_INFO_SIZE, MAX_KEY_SIZE, MAX_VALUE_SIZE, CommandError, parse_command
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.resp import INCOMPLETE, Message, RespError, RespReader
from cache_router.net.socket_state import has_unread_bytes, is_hung_up

# bytes buffered for an incomplete command
MAX_COMMAND_SIZE = MAX_VALUE_SIZE + MAX_KEY_SIZE + MAX_INFO_SIZE + 4096
MAX_COMMAND_PARTS = 16  # items of the array that encodes a command
MAX_PIPELINED_COMMANDS = 32  # commands per connection whose replies are pending
CLOSE_TIMEOUT = 0.5  # seconds that a closing connection waits for its client to read the last reply
ERROR_THROTTLE_TIME = 0.1  # seconds for which a connection is not read after an error
PONG_REPLY = b"+PONG\r\n"
NOT_READY_REPLY = b"-ERR no cache server is known\r\n"
log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class PipelinedReply:
    """The reply to one command; a connection writes its replies in the order of the commands."""

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


class ClientConnectionOwner(Protocol):
    """The state that connections share and the receiver of their reports; see `ClientConnectionTable`."""

    @property
    def draining(self) -> bool:
        """Whether connections close as soon as no reply is pending on them."""

    @property
    def read_buffer(self) -> memoryview:
        """The buffer into which the event loop reads for each connection."""

    def on_accepted(self, connection: ClientConnection) -> None:
        """Handle a new connection."""

    def on_data_received(self, connection: ClientConnection) -> None:
        """Handle bytes of a connection that have been read into `read_buffer`."""

    def on_busy(self, connection: ClientConnection) -> None:
        """Handle a connection that has a reply pending, is throttled or is closing."""

    def on_awaiting_command(self, connection: ClientConnection) -> None:
        """Handle a connection that awaits its first command, or the rest of an incomplete one."""

    def on_idle(self, connection: ClientConnection) -> None:
        """Handle a connection that is between two commands."""

    def on_closed(self, connection: ClientConnection) -> None:
        """Handle a connection that has closed; may be called twice."""


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection: reads commands, and writes their replies in order."""

    def __init__(self, dispatcher: Dispatcher, owner: ClientConnectionOwner) -> None:
        """Create a connection that sends requests to a dispatcher and reports its state to an owner."""
        self._dispatcher = dispatcher
        self._owner = owner
        self._reader = RespReader(MAX_COMMAND_PARTS, MAX_VALUE_SIZE, MAX_COMMAND_SIZE)
        self._replies: deque[PipelinedReply] = deque()
        self._commands_received = 0  # number of complete commands
        self._reading_enabled = True
        self._writing_enabled = True
        self._throttled = False  # whether reading is paused after an error
        self._closing_after_error = False  # if set, no further command is processed

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection, which awaits its first command."""
        self._transport = cast(asyncio.Transport, transport)
        self._owner.on_accepted(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process new bytes in the shared buffer."""
        self._owner.on_data_received(self)
        self._reader.feed(self._owner.read_buffer[:nbytes])
        self._process_input()

    def pause_writing(self) -> None:
        """Stop processing commands while the client does not read its replies."""
        self._writing_enabled = False
        self._update_reading()

    def resume_writing(self) -> None:
        """Process the commands that have arrived since `pause_writing`."""
        self._writing_enabled = True
        self._process_input()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection, and notify the dispatcher of each request in flight."""
        self._owner.on_closed(self)
        for reply in self._replies:
            if reply.data is None and reply.request_id is not None:
                self._dispatcher.on_client_disconnected(reply.request_id)
        self._replies.clear()

    # Commands

    def _process_input(self) -> None:
        try:
            self._process_commands()
        except Exception:
            # An unexpected error ends only this connection and its requests; other clients are still served.
            log.exception("closing connection of client %s after an unexpected error", self.client_address)
            self._transport.abort()

    def _process_commands(self) -> None:
        # A closing connection starts no request: the disconnect of its client would not be reported for it.
        while self._accepts_commands() and not self._transport.is_closing():
            try:
                parts = self._reader.next()
            except RespError as e:
                self.close_with_error(f"-ERR {e}")
                return
            if parts is INCOMPLETE:
                break
            self._commands_received += 1
            self._handle_command(parts)
        self._update_reading()
        self._report_state()

    def _handle_command(self, parts: Message) -> None:
        reply = PipelinedReply()
        self._replies.append(reply)
        complete = partial(self._complete_reply, reply)
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            complete(PONG_REPLY if self._dispatcher.has_ready_cache() else NOT_READY_REPLY)
            return
        try:
            command = parse_command(parts)
            reply.start_request(command.request_id.decode())
            self._dispatcher.accept(command, complete, self.is_connected)
        except CommandError as e:
            reply.reject_request()
            self._throttle()
            complete(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _accepts_commands(self) -> bool:
        blocked = self._closing_after_error or self._throttled or not self._writing_enabled
        return not blocked and len(self._replies) < MAX_PIPELINED_COMMANDS

    def _update_reading(self) -> None:
        """Read only while commands are accepted, which bounds the memory that a client occupies."""
        reading = self._accepts_commands()
        if reading != self._reading_enabled and not self._transport.is_closing():
            self._reading_enabled = reading
            (self._transport.resume_reading if reading else self._transport.pause_reading)()

    def _throttle(self) -> None:
        """Pause reading for a while: a client that sends errors at full speed would use a whole core."""
        self._throttled = True
        asyncio.get_running_loop().call_later(ERROR_THROTTLE_TIME, self._end_throttling)

    def _end_throttling(self) -> None:
        self._throttled = False
        self._process_input()

    # Replies

    def _complete_reply(self, reply: PipelinedReply, data: bytes) -> None:
        """Complete a reply, and write all replies that precede the first pending one."""
        reply.complete(data)
        while self._replies and (complete_data := self._replies[0].data) is not None:
            self._replies.popleft()
            self._transport.write(complete_data)
        if not self._replies:
            self._report_state()
            self._close_after_last_reply()
        if not self._reading_enabled and not self._transport.is_closing():
            # Further commands may be buffered, or unread in the socket, also while the router drains.
            asyncio.get_running_loop().call_soon(self._process_input)

    def _close_after_last_reply(self) -> None:
        """Close the connection if no further reply will be written on it."""
        if self._closing_after_error:
            self._close()
        elif self._owner.draining and self._writing_enabled:
            # Close now, before the client sends its next request.
            self.close_if_between_requests()

    def _report_state(self) -> None:
        if self._replies or self._closing_after_error or self._throttled:
            self._owner.on_busy(self)
        elif not self._reader.is_empty() or not self._commands_received:
            self._owner.on_awaiting_command(self)
        else:
            self._owner.on_idle(self)

    # Closing

    def close_with_error(self, error: str) -> None:
        """Send an error line after the pending replies, and close; ignored if the connection is closing.

        Used if the start of the next command can't be found, or if no complete command arrives in time.
        """
        if self._transport.is_closing():
            return
        self._closing_after_error = True
        # Input that arrives while earlier replies are pending would be buffered and never processed.
        self._update_reading()
        self._reader.clear()
        reply = PipelinedReply()
        self._replies.append(reply)
        self._complete_reply(reply, error.encode("ascii", "replace") + b"\r\n")

    def close_if_between_requests(self) -> None:
        """Close the connection unless a part of a command has arrived."""
        if self._reader.is_empty() and not self.has_unread_input():
            self._close()

    def _close(self) -> None:
        """Close once the buffered replies have been sent, or after CLOSE_TIMEOUT at the latest."""
        self._transport.close()
        if self.has_unsent_output():
            # A client that does not read its replies would hold the descriptor until its process ends.
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self._transport.abort)

    def abort(self) -> None:
        """Close immediately, discard buffered output, and report the connection as closed.

        The event loop calls `connection_lost` only later; until then the connection would be counted as open.
        """
        self._transport.abort()
        self._owner.on_closed(self)

    # Queries

    @property
    def client_address(self) -> Address | None:
        """The address of the client, or None if it had disconnected before its connection was accepted."""
        address = self._transport.get_extra_info("peername")
        return Address(*address) if address else None

    @property
    def pending_replies(self) -> int:
        """The number of commands whose replies have not been written."""
        return len(self._replies)

    def has_sent_single_command(self) -> bool:
        """Return whether exactly one complete command has arrived."""
        return self._commands_received == 1

    def has_buffered_input(self) -> bool:
        """Return whether a command, or a part of one, has been read and not processed."""
        return not self._reader.is_empty()

    def has_unread_input(self) -> bool:
        """Return whether a command may wait in the socket."""
        return has_unread_bytes(self._transport)

    def has_unsent_output(self) -> bool:
        """Return whether a part of a reply is still buffered."""
        return bool(self._transport.get_write_buffer_size())

    def has_pending_io(self) -> bool:
        """Return whether a part of a reply is buffered, or a new command may wait in the socket."""
        return self.has_unsent_output() or self.has_unread_input()

    def is_reading(self) -> bool:
        """Return whether the event loop reads from the socket."""
        return self._transport.is_reading()

    def is_throttled_only(self) -> bool:
        """Return whether the connection is throttled, has no reply pending and is not closing."""
        return self._throttled and not self._replies and not self._closing_after_error

    def is_hung_up(self) -> bool:
        """Return whether the client has closed or reset the connection, or the router has closed it.

        This asks the kernel. The end of the stream follows all input, so that the event loop reads it late,
        or never while reading is paused.
        """
        return is_hung_up(self._transport)

    def is_connected(self) -> bool:
        """Return whether the client is still connected, and start closing the connection if it is not."""
        if not self._transport.is_closing() and self.is_hung_up():
            self._close()
        return not self._transport.is_closing()
