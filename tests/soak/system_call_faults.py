"""Runs the router with a socket layer whose calls fail in the ways that Linux documents.

`python -m tests.soak.system_call_faults SEED` replaces methods of `socket.socket` in its own process. Single
calls fail at random moments, and connects for a second at a time. The connections of clients are not broken,
as a client would have to know it: on them, calls are interrupted, and reads and writes are short.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import sys
import time
from collections.abc import Callable
from typing import Any

from cache_router.process_signals import block_signals
from tests.soak.network import ROUTER_PORT

FAULT_SHARE = 0.01  # share of the calls that fail at random
SHORT_SHARE = 0.1  # share of reads and writes that are short
OUTAGE_PERIOD, OUTAGE_TIME = 4.0, 1.0  # seconds between the starts of two outages, and of one of them
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ENOBUFS, errno.ETIMEDOUT)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
WAIT_ERRORS = (errno.EAGAIN, errno.EINTR)


class FaultySocketLayer:
    """Replaces the methods of `socket.socket` by ones that fail at times."""

    def __init__(self, seed: int) -> None:
        """Create a layer whose faults are drawn from a seed."""
        self._generator = random.Random(f"system calls {seed}")
        self._started_at = time.monotonic()
        self._outage_errors = self._generator.sample(CONNECT_ERRORS, len(CONNECT_ERRORS))

    def install(self) -> None:
        """Replace the methods until the process ends."""
        layer: Any = socket.socket
        layer.accept = self._failing(layer.accept, ACCEPT_ERRORS)
        layer.connect = self._connect(layer.connect)
        layer.recv = self._reading(layer.recv)
        layer.recv_into = self._reading_into(layer.recv_into)
        layer.send = self._writing(layer.send)

    def _fail(self, errors: tuple[int, ...], share: float = FAULT_SHARE) -> None:
        if self._generator.random() < share:
            number = self._generator.choice(errors)
            raise OSError(number, os.strerror(number))

    def _failing(self, call: Callable[..., Any], errors: tuple[int, ...]) -> Callable[..., Any]:
        def failing(sock: socket.socket, *arguments: Any) -> Any:
            self._fail(errors)
            return call(sock, *arguments)

        return failing

    def _connect(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def connect(sock: socket.socket, address: Any) -> Any:
            outage, elapsed = divmod(time.monotonic() - self._started_at, OUTAGE_PERIOD)
            if outage >= 1 and elapsed < OUTAGE_TIME:
                self._fail((self._outage_errors[int(outage) % len(self._outage_errors)],), share=1.0)
            self._fail(CONNECT_ERRORS)
            return call(sock, address)

        return connect

    def _reading(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def read(sock: socket.socket, size: int, *arguments: Any) -> Any:
            self._fail(WAIT_ERRORS if is_client(sock) else (*WAIT_ERRORS, *BROKEN_ERRORS))
            return call(sock, self._shortened(size), *arguments)

        return read

    def _reading_into(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def read_into(sock: socket.socket, buffer: Any, *arguments: Any) -> Any:
            self._fail(WAIT_ERRORS if is_client(sock) else (*WAIT_ERRORS, *BROKEN_ERRORS))
            return call(sock, memoryview(buffer)[: self._shortened(len(buffer))], *arguments)

        return read_into

    def _writing(self, call: Callable[..., Any]) -> Callable[..., Any]:
        def write(sock: socket.socket, data: Any, *arguments: Any) -> Any:
            self._fail(WAIT_ERRORS if is_client(sock) else (*WAIT_ERRORS, *BROKEN_ERRORS))
            return call(sock, memoryview(data)[: self._shortened(len(data))], *arguments)

        return write

    def _shortened(self, size: int) -> int:
        """Return a size, or at times a smaller one."""
        is_short = size > 1 and self._generator.random() < SHORT_SHARE
        return self._generator.randint(1, min(size, 64)) if is_short else size


def is_client(sock: socket.socket) -> bool:
    """Return whether a socket is the connection of a client."""
    try:
        return bool(sock.getsockname()[1] == ROUTER_PORT)
    except (OSError, IndexError):
        return True  # not a TCP connection, such as the one that wakes the event loop


if __name__ == "__main__":
    block_signals()
    FaultySocketLayer(int(sys.argv[1])).install()
    from cache_router.program import main

    sys.exit(main())
