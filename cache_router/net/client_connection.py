"""The connections of clients, which speak RESP2."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from cache_router.net.command import MAX_INFO, MAX_KEY, MAX_VALUE, CommandError, read_command
from cache_router.net.connection_pool import has_unread_bytes, is_hung_up
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.resp import NOT_YET, Message, Reader, RespError

if TYPE_CHECKING:
    from cache_router.net.listener import Listener

MAX_COMMAND_SIZE = MAX_VALUE + MAX_KEY + MAX_INFO + 4096  # bytes held for a command that is not whole
MAX_COMMAND_PARTS = 16
MAX_PIPELINED_COMMANDS = 32  # commands of one connection that wait for their answers
CLOSE_TIMEOUT = 0.5  # seconds for a closing connection to take its last answer
ERROR_THROTTLE_TIME = 0.1  # seconds for which a connection is not read after an error
log = logging.getLogger(__name__)


@dataclass(slots=True, eq=False)
class PipelinedReply:
    """A command's place in the order of answers."""

    request_id: str | None = None
    data: bytes | None = None


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection."""

    def __init__(self, dispatcher: Dispatcher, listener: Listener) -> None:
        self.dispatcher = dispatcher
        self.listener = listener
        self.reader = Reader(MAX_COMMAND_PARTS, MAX_VALUE, MAX_COMMAND_SIZE)
        self.replies: deque[PipelinedReply] = deque()
        self.commands_received = 0  # whole ones that have come
        self.reading = True
        self.writable = True
        self.throttled = False  # after an error
        self.closing = False  # no command is taken any more

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.listener.connections[self] = None
        self.listener.update_state(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.listener.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.listener.idle.pop(self, None)
        self.reader.feed(self.listener.read_buffer[:nbytes])
        self._process_input()

    def _process_input(self) -> None:
        try:
            self._process_commands()
        except Exception:
            # guards the router: a fault here ends this connection alone, and its requests are settled
            log.exception("connection of a client")
            self.transport.abort()

    def _process_commands(self) -> None:
        # a closing connection takes nothing more: nobody would hear that its client is gone
        while self._accepts_commands() and not self.transport.is_closing():
            try:
                parts = self.reader.next()
            except RespError as e:
                self.close_with_error(f"-ERR {e}")
                return
            if parts is NOT_YET:
                break
            self.commands_received += 1
            self._handle_command(parts)
        self._update_reading()
        self.listener.update_state(self)

    def _handle_command(self, parts: Message) -> None:
        reply = PipelinedReply()
        self.replies.append(reply)
        answer = partial(self._complete_reply, reply)
        if isinstance(parts, list) and len(parts) == 1 and parts[0] in (b"PING", b"ping"):
            answer(b"+PONG\r\n" if self.dispatcher.ready() else b"-ERR no cache server is known\r\n")
            return
        try:
            command = read_command(parts)
            reply.request_id = command.request.decode()
            self.dispatcher.take(command, answer, self.is_connected)
        except CommandError as e:
            reply.request_id = None
            # guards the other clients: one that sends errors at full speed would take the core for itself
            self.throttled = True
            asyncio.get_running_loop().call_later(ERROR_THROTTLE_TIME, self._end_throttling)
            answer(b"-ERR %b\r\n" % str(e).encode("ascii", "replace"))

    def _end_throttling(self) -> None:
        self.throttled = False
        self._process_input()

    def _complete_reply(self, reply: PipelinedReply, answer: bytes) -> None:
        reply.data = answer
        while self.replies and self.replies[0].data is not None:
            self.transport.write(self.replies.popleft().data or b"")
        if not self.replies:
            self.listener.update_state(self)
        if self.closing and not self.replies:
            self.close()
        elif self.listener.draining and not self.replies and self.writable:
            # at once, so that the next request is not on its way yet
            self.close_if_between_requests()
        elif not self.reading and not self.closing:
            asyncio.get_running_loop().call_soon(self._process_input)

    def close_with_error(self, error: str) -> None:
        """Answer with an error and close: where the next command begins can't be told any more."""
        self.closing = True
        # guards memory: what comes while earlier answers are owed would be kept for nobody
        self._update_reading()
        self.reader.buffer.clear()
        reply = PipelinedReply()
        self.replies.append(reply)
        self._complete_reply(reply, error.encode("ascii", "replace") + b"\r\n")

    def close_if_between_requests(self) -> None:
        """Close, unless a request has begun to come in."""
        if not self.reader.buffer and not self.has_unread_input():
            self.close()

    def close(self) -> None:
        """Close once what was written has gone out, or soon if it does not."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            # guards the descriptors: a client that takes no answers would keep its connection for good
            asyncio.get_running_loop().call_later(CLOSE_TIMEOUT, self.transport.abort)

    def _accepts_commands(self) -> bool:
        held_up = self.closing or self.throttled or not self.writable
        return not held_up and len(self.replies) < MAX_PIPELINED_COMMANDS

    def _update_reading(self) -> None:
        """Bounds what a client can make the router hold: no reading while too much is unanswered."""
        wanted = self._accepts_commands()
        if wanted != self.reading and not self.transport.is_closing():
            self.reading = wanted
            (self.transport.resume_reading if wanted else self.transport.pause_reading)()

    def pause_writing(self) -> None:
        self.writable = False
        self._update_reading()

    def resume_writing(self) -> None:
        self.writable = True
        self._process_input()

    def is_connected(self) -> bool:
        """Whether the client has not left.

        Asked of the kernel: its end comes behind all that it sent, which the loop reads late or not at all.
        """
        if not self.transport.is_closing() and is_hung_up(self.transport):
            self.close()
        return not self.transport.is_closing()

    def has_unread_input(self) -> bool:
        """Whether a command may wait in the socket."""
        return has_unread_bytes(self.transport)

    def has_unsent_output(self) -> bool:
        """Whether an answer has not gone out whole."""
        return bool(self.transport.get_write_buffer_size())

    def has_pending_io(self) -> bool:
        """Whether something is owed although no request is open: the rest of an answer, or a new one."""
        return self.has_unsent_output() or self.has_unread_input()

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.on_closed(self)
        for reply in self.replies:
            if reply.data is None and reply.request_id is not None:
                self.dispatcher.client_gone(reply.request_id)
        self.replies.clear()
