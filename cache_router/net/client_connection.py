"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import cast

from cache_router.net.client_connection_table import ClientConnectionTable
from cache_router.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, CommandError, parse_command
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.resp import INCOMPLETE, Message, RespError, RespReader
from cache_router.net.socket_state import has_unread_bytes, is_hung_up

MAX_COMMAND_SIZE = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes buffered for an incomplete command
MAX_COMMAND_PARTS = 16
MAX_PIPELINED_COMMANDS = 32  # commands of one connection whose replies are pending
CLOSE_TIMEOUT = 0.5  # seconds for the client of a closing connection to read its last reply
ERROR_THROTTLE_TIME = 0.1  # seconds for which a connection is not read after an error
PONG_REPLY = b"+PONG\r\n"
NOT_READY_REPLY = b"-ERR no cache server is known\r\n"
log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class PipelinedReply:
    """The place of a command's reply among those of its connection, which go out in order."""

    request_id: str | None = None  # of a request that the dispatcher has accepted
    data: bytes | None = None  # None while the reply is pending


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection: reads commands, and writes their replies in order."""

    def __init__(self, dispatcher: Dispatcher, table: ClientConnectionTable) -> None:
        """Create a connection that sends requests to a dispatcher and notifies a table of its state."""
        self.dispatcher = dispatcher
        self.table = table
        self.reader = RespReader(MAX_COMMAND_PARTS, MAX_VALUE, MAX_COMMAND_SIZE)
        self.replies: deque[PipelinedReply] = deque()
        self.commands_received = 0  # complete ones
        self.reading = True
        self.writable = True
        self.throttled = False  # after an error
        self.closing = False  # no command is read any more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the table, to await the first command."""
        self.transport = cast(asyncio.Transport, transport)
        self.table.on_accepted(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self.table.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process what has been read."""
        self.table.on_data_received(self)
        self.reader.feed(self.table.read_buffer[:nbytes])
        self._process_input()

    def _process_input(self) -> None:
        try:
            self._process_commands()
        except Exception:
            # A fault here ends this connection alone: closing it settles its requests, others go on.
            log.exception("connection of client %s", self.transport.get_extra_info("peername"))
            self.transport.abort()

    def _process_commands(self) -> None:
        # A closing connection processes nothing more: nobody would be notified that its client has left.
        while self._accepts_commands() and not self.transport.is_closing():
            try:
                parts = self.reader.next()
            except RespError as e:
                self.close_with_error(f"-ERR {e}")
                return
            if parts is INCOMPLETE:
                break
            self.commands_received += 1
            self._handle_command(parts)
        self._update_reading()
        self._notify_state()

    def _handle_command(self, parts: Message) -> None:
        reply = PipelinedReply()
        self.replies.append(reply)
        complete = partial(self._complete_reply, reply)
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            complete(PONG_REPLY if self.dispatcher.has_ready_cache() else NOT_READY_REPLY)
            return
        try:
            command = parse_command(parts)
            reply.request_id = command.request_id.decode()
            self.dispatcher.accept(command, complete, self.is_connected)
        except CommandError as e:
            reply.request_id = None
            self._throttle()
            complete(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _throttle(self) -> None:
        """Stop reading for a while: a client that sends errors at full speed would take the whole core."""
        self.throttled = True
        asyncio.get_running_loop().call_later(ERROR_THROTTLE_TIME, self._end_throttling)

    def _end_throttling(self) -> None:
        self.throttled = False
        self._process_input()

    def _complete_reply(self, reply: PipelinedReply, data: bytes) -> None:
        """Write a reply once all before it have been written."""
        reply.data = data
        while self.replies and self.replies[0].data is not None:
            self.transport.write(self.replies.popleft().data or b"")
        if not self.replies:
            self._notify_state()
        if self.closing and not self.replies:
            self.close()
        elif self.table.draining and not self.replies and self.writable:
            # at once, before the client sends its next request
            self.close_if_between_requests()
        elif not self.reading and not self.closing:
            asyncio.get_running_loop().call_soon(self._process_input)

    def _notify_state(self) -> None:
        """Notify the table of the state that the connection is in now."""
        if self.replies or self.closing or self.throttled:
            self.table.on_busy(self)
        elif not self.reader.is_empty() or not self.commands_received:
            self.table.on_awaiting_command(self)
        else:
            self.table.on_idle(self)

    def close_with_error(self, error: str) -> None:
        """Reply with an error line behind the pending replies, and close.

        For a stream in which the start of the next command can't be told, or does not arrive.
        """
        self.closing = True
        # What arrives while earlier replies are pending would fill memory and never be processed.
        self._update_reading()
        self.reader.clear()
        reply = PipelinedReply()
        self.replies.append(reply)
        self._complete_reply(reply, error.encode("ascii", "replace") + b"\r\n")

    def close_if_between_requests(self) -> None:
        """Close, unless a part of a command has arrived."""
        if self.reader.is_empty() and not self.has_unread_input():
            self.close()

    def close(self) -> None:
        """Close once what was written has gone out, and after CLOSE_TIMEOUT at the latest."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            # A client that does not read its replies would hold the descriptor for good.
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self.transport.abort)

    def _accepts_commands(self) -> bool:
        blocked = self.closing or self.throttled or not self.writable
        return not blocked and len(self.replies) < MAX_PIPELINED_COMMANDS

    def _update_reading(self) -> None:
        """Pause or resume reading: not reading while commands aren't accepted bounds a client's memory."""
        reading = self._accepts_commands()
        if reading != self.reading and not self.transport.is_closing():
            self.reading = reading
            (self.transport.resume_reading if reading else self.transport.pause_reading)()

    def pause_writing(self) -> None:
        """Process no more commands while the client does not read its replies."""
        self.writable = False
        self._update_reading()

    def resume_writing(self) -> None:
        """Go on with the commands that have arrived meanwhile."""
        self.writable = True
        self._process_input()

    def is_connected(self) -> bool:
        """Return whether the client has not disconnected, and start closing the connection if it has.

        The kernel is asked, as the end of the stream comes behind all input: the event loop reads it late, or
        never while reading is paused.
        """
        if not self.transport.is_closing() and is_hung_up(self.transport):
            self.close()
        return not self.transport.is_closing()

    def has_unread_input(self) -> bool:
        """Return whether a command may wait in the socket."""
        return has_unread_bytes(self.transport)

    def has_unsent_output(self) -> bool:
        """Return whether a part of a reply has not gone out."""
        return bool(self.transport.get_write_buffer_size())

    def has_pending_io(self) -> bool:
        """Return whether a part of a reply is unsent, or a new command may wait in the socket."""
        return self.has_unsent_output() or self.has_unread_input()

    def is_throttled_only(self) -> bool:
        """Return whether the connection is throttled, has no reply pending and is not closing."""
        return self.throttled and not self.replies and not self.closing

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the table, and notify the dispatcher for each request in flight."""
        self.table.on_closed(self)
        for reply in self.replies:
            if reply.data is None and reply.request_id is not None:
                self.dispatcher.on_client_disconnected(reply.request_id)
        self.replies.clear()
