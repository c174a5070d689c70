"""Scripted servers and clients on loopback.

A test reads the bytes that the router sent over a `PeerConnection`, and writes the response or request
itself.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Iterable
from contextlib import suppress
from types import TracebackType
from typing import Any, Self

import hiredis

# Responses of a cache server: the value, `hit` or `miss`, and the load report. Each value is made for one
# request: on a reused connection, a value that comes again counts as a copy of the earlier response.
HIT = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
# Iterations of the event loop within which asyncio passes an accepted connection to the server's callback:
# one each to create the transport, to notify the protocol and to start the callback, and two in reserve
ACCEPT_ITERATIONS = 5


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def encode_http_response(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Encode an HTTP response."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def encode_command(*parts: str | bytes) -> bytes:
    """Encode a RESP command."""
    return bytes(hiredis.pack_command(parts))  # type: ignore[arg-type]


def encode_read(request: str, key: str = "k", info: str = "c=read,t=x,d=2000") -> bytes:
    """Encode a client's read; `info` holds the class, the tenant and the deadline in milliseconds."""
    return encode_command("C.GET", key, request, info)


def encode_keyed_write(request: str, key: str = "k", value: bytes = b"slot") -> bytes:
    """Encode a client's write with an idempotency key."""
    return encode_command("C.SET", key, request, "c=book,t=x,d=2000,k=5c0f", value)


def encode_hit(value: bytes) -> bytes:
    """Encode a cache server's response to a read that hits."""
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value)


def error_text(message: object) -> str:
    """Return the text of a RESP error reply; anything else fails the test."""
    assert isinstance(message, Exception), message
    return str(message)


class PeerConnection:
    """The test's end of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams of an open connection."""
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader(notEnoughData=Ellipsis)

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""
        self.writer.write(data)

    async def read_resp(self) -> Any:
        """Read the next RESP message."""
        while (message := self.parser.gets()) is Ellipsis:
            data = await self.reader.read(65536)
            assert data, "the connection was closed"
            self.parser.feed(data)
        return message

    async def read_http(self) -> tuple[str, dict[str, str], bytes]:
        """Read the next HTTP message: its first line, its headers by lower-case name, and its body."""
        first, *rest = (await self.reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in rest)}
        return first, headers, await self.reader.readexactly(int(headers.get("content-length", 0)))

    async def closed_by_peer(self) -> bool:
        """Wait until the peer closes the connection; return whether it sent no more data before that."""
        try:
            return await self.reader.read() == b""
        except ConnectionResetError:
            return True

    async def ping(self) -> None:
        """Send a PING as a client, and wait for its reply."""
        self.write(encode_command("PING"))
        assert await self.read_resp() == b"PONG"

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        self.writer.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        own_socket = self.writer.get_extra_info("socket")
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()

    async def abort(self) -> None:
        """Close the connection at once without sending buffered data, and wait until it is closed."""
        self.writer.transport.abort()
        with suppress(OSError):  # raised again here if an earlier error closed the connection
            await self.writer.wait_closed()


async def abort_all(links: Iterable[PeerConnection]) -> None:
    """Abort connections, and wait until all of them are closed."""
    for link in links:
        await link.abort()


class Clients:
    """Connections that a test opens as a client; they stay open until the context ends."""

    def __init__(self) -> None:
        """Create a context without a connection."""
        self._links: list[PeerConnection] = []

    async def __aenter__(self) -> Self:
        """Return the context itself; connections are opened in it."""
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Abort all connections."""
        await abort_all(self._links)

    def add(self, link: PeerConnection) -> PeerConnection:
        """Register a connection to be closed at the end of the context, and return it."""
        self._links.append(link)
        return link

    async def connect(self, address: tuple[str, int]) -> PeerConnection:
        """Open a connection on which nothing is sent yet."""
        return self.add(PeerConnection(*await asyncio.open_connection(*address)))

    async def connect_and_ping(self, address: tuple[str, int]) -> PeerConnection:
        """Open a connection, and wait for the reply to a PING."""
        link = await self.connect(address)
        await link.ping()
        return link


class Peer:
    """A listening server; the test writes the responses on its connections itself."""

    def __init__(self) -> None:
        """Create a server that listens once its context is entered."""
        self.links: asyncio.Queue[PeerConnection] = asyncio.Queue()
        self.served: list[PeerConnection] = []  # connections on which `serve` reads
        self._accepted: list[PeerConnection] = []  # all connections, including those taken from `links`

    async def __aenter__(self) -> Self:
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = format_address(self.server.sockets[0].getsockname())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop listening, and abort all connections."""
        await self._stop_accepting()
        self.server.close()
        await abort_all(self._accepted)

    async def _stop_accepting(self) -> None:
        """Stop accepting connections, and wait until `_accept` has received each one that was accepted.

        In Python 3.11, a server that is closed earlier leaves the socket of such a connection open.
        """
        loop = asyncio.get_running_loop()
        for listening in self.server.sockets:
            loop.remove_reader(listening)
        for _ in range(ACCEPT_ITERATIONS):
            await asyncio.sleep(0)

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = PeerConnection(reader, writer)
        self._accepted.append(link)
        self.links.put_nowait(link)

    async def accept_connection(self) -> PeerConnection:
        """Return the next connection to this server."""
        return await self.links.get()

    async def serve(self, response: bytes) -> Any:
        """Respond to the next request on any connection, and return the request.

        All connections stay open.
        """
        while True:
            reads = {asyncio.ensure_future(link.read_resp()): link for link in self.served}
            accept = asyncio.ensure_future(self.links.get())
            done, pending = await asyncio.wait([*reads, accept], return_when=asyncio.FIRST_COMPLETED)
            for task in pending:
                task.cancel()
            if accept in done:
                self.served.append(accept.result())
            for task in done & reads.keys():
                if task.exception() is not None:
                    self.served.remove(reads[task])
                    continue
                reads[task].write(response)
                return task.result()
