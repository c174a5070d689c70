"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
import time
from functools import partial
from typing import Protocol, cast

from cache_router.net.client_socket import ClientSocket
from cache_router.net.command import CommandError, parse_command
from cache_router.net.command_reader import CommandReader
from cache_router.net.dispatcher import Dispatcher, RequestDelays
from cache_router.net.input_scheduler import MAX_SMALL_INPUT, InputScheduler
from cache_router.net.pipelined_replies import PipelinedReply, ReplyQueue
from cache_router.net.reply_memory import ReplyMemory
from cache_router.net.resp import INCOMPLETE, Message, RespError

ERROR_THROTTLE_TIME = 0.1  # seconds for which a connection is not read after an error
PONG_REPLY = b"+PONG\r\n"
NOT_READY_REPLY = b"-ERR no cache server is known\r\n"
log = logging.getLogger(__name__)


class ClientConnectionOwner(Protocol):
    """The state that connections share and the receiver of their reports; see `ClientConnectionTable`."""

    @property
    def draining(self) -> bool:
        """Whether connections close as soon as no reply is pending on them."""

    @property
    def read_buffer(self) -> memoryview:
        """The buffer into which the event loop reads for each connection."""

    @property
    def input_scheduler(self) -> InputScheduler:
        """The scheduler that divides the time of the event loop among the connections."""

    @property
    def reply_memory(self) -> ReplyMemory:
        """The memory of replies that are behind a pending one, on all connections."""

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


class ClientConnection(ClientSocket):
    """One client's connection: reads commands, and writes their replies in order."""

    def __init__(
        self, dispatcher: Dispatcher, owner: ClientConnectionOwner, queued_since: float | None = None
    ) -> None:
        """Create a connection that sends requests to a dispatcher and reports its state to an owner.

        `queued_since` is the earliest time, on the monotonic clock, at which the kernel can have accepted the
        connection; None if it is not known.
        """
        self._dispatcher = dispatcher
        self._owner = owner
        self._scheduler = owner.input_scheduler
        self._commands = CommandReader(queued_since)
        self._replies = ReplyQueue(owner.reply_memory)
        self._last_reply_at = 0.0  # time at which the last reply was written, on the monotonic clock
        self._is_processing = False  # whether replies are collected, to be written together
        self._writing_enabled = True
        self._throttled = False  # whether reading is paused after an error
        self._closing_after_error = False  # if set, no further command is processed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the new connection, which awaits its first command."""
        self._transport = cast(asyncio.Transport, transport)
        self._descriptor: int = transport.get_extra_info("socket").fileno()
        if not self.has_unread_input():
            self._commands.mark_all_read()
        self._owner.on_accepted(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections share."""
        return self._owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Process new bytes in the shared buffer, now or when it is the turn of this connection."""
        self._owner.on_data_received(self)
        ready_since = self._scheduler.turns.ready_since(self._descriptor)
        self._commands.feed(self._owner.read_buffer[:nbytes], ready_since)
        self._scheduler.schedule(self)
        if self._scheduler.is_waiting(self) and self.input_size > MAX_SMALL_INPUT:
            self._update_reading()

    def pause_writing(self) -> None:
        """Stop processing commands while the client does not read its replies."""
        self._writing_enabled = False
        self._update_reading()

    def resume_writing(self) -> None:
        """Process the commands that have arrived since `pause_writing`."""
        self._writing_enabled = True
        self._scheduler.schedule(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the closed connection, and notify the dispatcher of each request in flight."""
        self.mark_lost()
        self._scheduler.remove(self)
        self._owner.on_closed(self)
        for request_id in self._replies.clear():
            self._dispatcher.on_client_disconnected(request_id)

    def process_input(self, until: float) -> bool:
        """Process commands until a time of the monotonic clock; return whether more may follow at once."""
        self._is_processing = True
        try:
            return self._process_commands(until)
        except Exception:
            # An unexpected error ends only this connection and its requests; other clients are still served.
            log.exception("closing connection of client %s after an unexpected error", self.client_address)
            self._transport.abort()
            return False
        finally:
            self._is_processing = False
            self._write_replies()

    def on_input_processed(self) -> None:
        """Read on, unless the scheduler has more input of this connection to process first."""
        self._update_reading()
        self._report_state()

    def _process_commands(self, until: float) -> bool:
        # A closing connection starts no request: the disconnect of its client would not be reported for it.
        while self._accepts_commands() and not self._transport.is_closing():
            try:
                parts = self._commands.next()
            except RespError as e:
                self.close_with_error(f"-ERR {e}")
                return False
            if parts is INCOMPLETE:
                return False
            self._handle_command(parts)
            if time.monotonic() >= until:
                return self._accepts_commands() and not self._commands.is_empty()
        return False

    def _handle_command(self, parts: Message) -> None:
        reply = self._replies.add()
        complete = partial(self._complete_reply, reply)
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            complete(PONG_REPLY if self._dispatcher.has_ready_cache() else NOT_READY_REPLY)
            return
        try:
            command = parse_command(parts)
            reply.start_request(command.request_id.decode())
            self._dispatcher.accept(command, complete, self.is_connected, self._delays())
        except CommandError as e:
            reply.reject_request()
            self._throttle()
            complete(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _delays(self) -> RequestDelays:
        """Return the delays of the present command, without its wait for the replies ahead of it."""
        arrived_at = self._commands.last_arrived_at()
        waited = max(0.0, time.monotonic() - max(arrived_at, self._last_reply_at))
        return RequestDelays(waited, self._scheduler.turns.lag)

    def _accepts_commands(self) -> bool:
        if self._closing_after_error or self._throttled or not self._writing_enabled:
            return False
        return len(self._replies) < self._scheduler.pipeline_limit and self._replies.has_memory()

    def _update_reading(self) -> None:
        """Read only while commands are processed at once, which bounds the memory that a client occupies."""
        reading = self._accepts_commands() and not self._scheduler.is_waiting(self)
        if not self.set_reading(reading):
            return
        if not reading:
            self._commands.mark_unread_since(time.monotonic())
            self._dispatcher.statistics.count_paused_read()
        elif not self.has_unread_input():
            self._commands.mark_all_read()

    def _throttle(self) -> None:
        """Pause reading for a while: a client that sends errors at full speed would use a whole core."""
        self._throttled = True
        asyncio.get_running_loop().call_later(ERROR_THROTTLE_TIME, self._end_throttling)

    def _end_throttling(self) -> None:
        self._throttled = False
        self._scheduler.schedule(self)

    def _complete_reply(self, reply: PipelinedReply, data: bytes) -> None:
        """Complete a reply, and write all replies that precede the first pending one."""
        self._replies.complete(reply, data)
        if self._is_processing:
            return
        self._write_replies()
        if not self._replies:
            self._report_state()
        if not self._reading_enabled and not self._transport.is_closing():
            # Further commands may be buffered, or unread in the socket, also while the router drains.
            self._scheduler.schedule_later(self)

    def _write_replies(self) -> None:
        """Write the replies that precede the first pending one, and close after the last one if due."""
        data = self._replies.take_complete()
        if not data or self._transport.is_closing():
            return
        self._last_reply_at = time.monotonic()
        self._transport.write(data)
        if not self._replies:
            self._close_after_last_reply()

    def _close_after_last_reply(self) -> None:
        """Close the connection if no further reply will be written on it."""
        if self._closing_after_error:
            self.close()
        elif self._owner.draining and self._writing_enabled:
            # Close now, before the client sends its next request.
            self.close_if_between_requests()

    def _report_state(self) -> None:
        is_waiting = self._scheduler.is_waiting(self)
        if self._replies or self._closing_after_error or self._throttled or is_waiting:
            self._owner.on_busy(self)
        elif not self._commands.is_empty() or not self._commands.count:
            self._owner.on_awaiting_command(self)
        else:
            self._owner.on_idle(self)

    def close_with_error(self, error: str) -> None:
        """Send an error line after the pending replies, and close; ignored if the connection is closing.

        Used if the start of the next command can't be found, or if no complete command arrives in time.
        """
        if self._transport.is_closing():
            return
        self._closing_after_error = True
        # Input that arrives while earlier replies are pending would be buffered and never processed.
        self._update_reading()
        self._commands.clear()
        reply = self._replies.add()
        self._complete_reply(reply, error.encode("ascii", "replace") + b"\r\n")

    def close_if_between_requests(self) -> None:
        """Close the connection unless a part of a command has arrived."""
        if self._commands.is_empty() and not self.has_unread_input():
            self.close()

    def abort(self) -> None:
        """Close immediately, discard buffered output, and report the connection as closed.

        The event loop calls `connection_lost` only later; until then the connection would be counted as open.
        """
        self._transport.abort()
        self._owner.on_closed(self)

    @property
    def pending_replies(self) -> int:
        """The number of commands whose replies have not been written."""
        return len(self._replies)

    def has_sent_single_command(self) -> bool:
        """Return whether exactly one complete command has arrived."""
        return self._commands.count == 1

    @property
    def input_size(self) -> int:
        """Number of bytes that have been read and not processed."""
        return self._commands.buffered_size

    def is_throttled_only(self) -> bool:
        """Return whether the connection is throttled, has no reply pending and is not closing."""
        return self._throttled and not self._replies and not self._closing_after_error

    def is_connected(self) -> bool:
        """Return whether the client is still connected, and start closing the connection if it is not."""
        if not self._transport.is_closing() and self.is_hung_up():
            self.close()
        return not self._transport.is_closing()
