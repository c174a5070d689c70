"""Scripted servers and clients on loopback.

A test reads what the router sent over a `Link`, and writes the reply or request itself.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from types import TracebackType
from typing import Any, Self

import hiredis

# responses of a cache server: value, hit or miss, load report
HIT = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n"
MISS = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"


def format_address(address: tuple[str, int]) -> str:
    """Return an address as `host:port`."""
    return f"{address[0]}:{address[1]}"


def http(status: str, body: bytes = b"", *headers: str) -> bytes:
    """Encode an HTTP response."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def command(*parts: str | bytes) -> bytes:
    """Encode a RESP command."""
    return bytes(hiredis.pack_command(parts))  # type: ignore[arg-type]


def read(request: str, key: str = "k", info: str = "c=read,t=x,d=2000") -> bytes:
    """Encode a client's read; `info` has the class, the tenant and the deadline in milliseconds."""
    return command("C.GET", key, request, info)


def keyed_write(request: str, key: str = "k", value: bytes = b"slot") -> bytes:
    """Encode a client's write with an idempotency key."""
    return command("C.SET", key, request, "c=book,t=x,d=2000,k=5c0f", value)


def error_text(message: object) -> str:
    """Return the text of a RESP error reply; anything else fails the test."""
    assert isinstance(message, Exception), message
    return str(message)


class Link:
    """The test's side of one connection."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap the streams of an open connection."""
        self.reader = reader
        self.writer = writer
        self.parser = hiredis.Reader(notEnoughData=Ellipsis)

    def write(self, data: bytes) -> None:
        """Send bytes to the peer."""
        self.writer.write(data)

    async def resp(self) -> Any:
        """Read the next RESP message."""
        while (message := self.parser.gets()) is Ellipsis:
            data = await self.reader.read(65536)
            assert data, "the connection was closed"
            self.parser.feed(data)
        return message

    async def http(self) -> tuple[str, dict[str, str], bytes]:
        """Read the next HTTP message: its first line, its headers by lower-case name, and its body."""
        first, *rest = (await self.reader.readuntil(b"\r\n\r\n")).decode().strip().split("\r\n")
        headers = {k.lower(): v for k, v in (line.split(": ", 1) for line in rest)}
        return first, headers, await self.reader.readexactly(int(headers.get("content-length", 0)))

    async def closed_by_peer(self) -> bool:
        """Wait until the peer closes; return whether it sent nothing more before that."""
        try:
            return await self.reader.read() == b""
        except ConnectionResetError:
            return True

    async def ping(self) -> None:
        """Send a PING as a client, and wait for its reply."""
        self.write(command("PING"))
        assert await self.resp() == b"PONG"

    def close(self) -> None:
        """Close the connection once everything written has been sent."""
        self.writer.close()

    def reset(self) -> None:
        """Close the connection with a reset."""
        own_socket = self.writer.get_extra_info("socket")
        own_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Peer:
    """A listening server; the test writes the responses on its connections itself."""

    def __init__(self) -> None:
        """Create a server that listens once its context is entered."""
        self.links: asyncio.Queue[Link] = asyncio.Queue()
        self.served: list[Link] = []  # connections on which `serve` reads

    async def __aenter__(self) -> Self:
        """Listen on a free port of loopback."""
        self.server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = format_address(self.server.sockets[0].getsockname())
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop listening; connections stay open."""
        self.server.close()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.links.put_nowait(Link(reader, writer))

    async def link(self) -> Link:
        """Return the next connection that is made to this server."""
        return await self.links.get()

    async def serve(self, response: bytes) -> Any:
        """Answer the next request on any connection, and return the request; all connections stay open."""
        while True:
            reads = {asyncio.ensure_future(link.resp()): link for link in self.served}
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
