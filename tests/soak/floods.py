"""Clients that send at full speed, as a process of their own, so that they do not slow down the checks.

`python -m tests.soak.floods KIND HOST PORT` floods one address until the time is over or it is killed.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
import sys
from collections.abc import Iterator
from contextlib import suppress
from enum import Enum
from socket import SO_LINGER, SO_RCVBUF, SOL_SOCKET

import click
import hiredis

PINGS_PER_CHUNK = 2000
READS_PER_CHUNK = 100
LEAVE_AFTER = 0.005  # seconds after which a client of kind LEAVING closes its connection
RECONNECT_DELAY = 0.01  # seconds
DRIP_INTERVAL = 0.03  # seconds between two bytes of a client of kind DRIPPING
FIELD_COUNT = 400  # short fields in a command of kind SHORT_FIELDS
LARGE_VALUE = 64 * 1024  # bytes
SMALL_BUFFER = 4096  # bytes


class FloodKind(Enum):
    """What the clients of a flood send."""

    PING = "ping"
    NEW_NAMES = "new-names"  # sound reads under ever new ids, keys and tenants
    UNSOUND = "unsound"  # unknown classes, invalid commands and bytes that are not RESP
    LEAVING = "leaving"  # many reads at once, and a reset soon after
    RECONNECTING = "reconnecting"  # one read on each connection
    STOPPING = "stopping"  # a part of a large write, and then nothing
    NOT_READING = "not-reading"  # reads of large values whose replies are not read
    LARGE_WRITES = "large-writes"  # many large writes at once
    DRIPPING = "dripping"  # one byte at a time
    SHORT_FIELDS = "short-fields"  # commands of very many short fields


# kinds that need processor time of the router, rather than memory or descriptors
FULL_SPEED_KINDS = (
    FloodKind.PING,
    FloodKind.NEW_NAMES,
    FloodKind.UNSOUND,
    FloodKind.LEAVING,
    FloodKind.RECONNECTING,
)


def encode(*parts: str) -> bytes:
    """Encode a RESP command."""
    return bytes(hiredis.pack_command(parts))  # type: ignore[arg-type]


class FloodClient:
    """One client of a flood, which opens a new connection whenever the current one has closed."""

    def __init__(self, kind: FloodKind, name: str, request_class: str, generator: random.Random) -> None:
        """Create a client; `name` distinguishes its request ids from those of all others."""
        self._kind = kind
        self._name = name
        self._request_class = request_class
        self._generator = generator
        self._numbers = itertools.count()

    async def run(self, address: tuple[str, int]) -> None:
        """Flood an address until cancelled."""
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(sock=await self._connect(address))
                replies = asyncio.create_task(self._discard_replies(reader))
                try:
                    await self._flood(writer)
                    if self._kind is FloodKind.RECONNECTING:
                        await replies
                finally:
                    replies.cancel()
                    writer.transport.abort()
            await asyncio.sleep(0 if self._kind is FloodKind.RECONNECTING else RECONNECT_DELAY)

    async def _connect(self, address: tuple[str, int]) -> socket.socket:
        """Open a connection; a client that does not read has a small buffer, which fills up at once."""
        connection = socket.socket()
        connection.setblocking(False)
        if self._kind is FloodKind.NOT_READING:
            connection.setsockopt(SOL_SOCKET, SO_RCVBUF, SMALL_BUFFER)
        try:
            await asyncio.get_running_loop().sock_connect(connection, address)
        except BaseException:
            connection.close()
            raise
        return connection

    async def _discard_replies(self, reader: asyncio.StreamReader) -> None:
        if self._kind is FloodKind.NOT_READING:
            await asyncio.Event().wait()
        with suppress(OSError):
            if self._kind is FloodKind.RECONNECTING:
                await reader.readline()
            while self._kind is not FloodKind.RECONNECTING and await reader.read(1 << 20):
                pass

    async def _flood(self, writer: asyncio.StreamWriter) -> None:
        for chunk in self._chunks():
            writer.write(chunk)
            await writer.drain()
            if self._kind is FloodKind.DRIPPING:
                await asyncio.sleep(DRIP_INTERVAL)
        if self._kind is FloodKind.STOPPING:
            await asyncio.Event().wait()
        if self._kind is FloodKind.LEAVING:
            await asyncio.sleep(LEAVE_AFTER)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(SOL_SOCKET, SO_LINGER, linger)

    def _chunks(self) -> Iterator[bytes]:
        """Yield what is sent on one connection; most kinds never stop."""
        match self._kind:
            case FloodKind.PING:
                return itertools.repeat(encode("PING") * PINGS_PER_CHUNK)
            case FloodKind.NEW_NAMES | FloodKind.NOT_READING:
                return iter(self._reads, b"")
            case FloodKind.LARGE_WRITES:
                return iter(self._large_write, b"")
            case FloodKind.UNSOUND:
                return iter(self._unsound, b"")
            case FloodKind.LEAVING:
                return iter([self._reads()])
            case FloodKind.RECONNECTING:
                return iter([self._read()])
            case FloodKind.STOPPING:
                return iter([self._large_write()[: LARGE_VALUE // 2]])
            case FloodKind.DRIPPING:
                return (bytes([byte]) for byte in self._large_write())
            case FloodKind.SHORT_FIELDS:
                fields = ",".join(f"f{n}=" for n in range(FIELD_COUNT))
                return itertools.repeat(encode("C.GET", "k", "r", fields))

    def _read(self) -> bytes:
        name = f"{self._name}-{next(self._numbers)}"
        prefix = "large" if self._kind is FloodKind.NOT_READING else "key"
        return encode("C.GET", f"{prefix}-{name}", name, f"c={self._request_class},t=t-{name},d=300")

    def _reads(self) -> bytes:
        return b"".join(self._read() for _ in range(READS_PER_CHUNK))

    def _unsound(self) -> bytes:
        name = f"{self._name}-{next(self._numbers)}"
        return self._generator.choice(
            [
                encode("C.GET", "k", name, f"c=none-{name},t=x,d=300"),
                encode("C.GET", "k", name),
                encode("GET", name),
                b"*1\r\n:7\r\n",
                b"*1\r\n$4\r\nPINGPONG\r\n",
            ]
        )

    def _large_write(self) -> bytes:
        name = f"{self._name}-{next(self._numbers)}"
        return encode("C.SET", f"key-{name}", name, f"c={self._request_class},t=x,d=300", "v" * LARGE_VALUE)


async def flood(
    kind: FloodKind, address: tuple[str, int], *, clients: int, seconds: float, request_class: str, seed: int
) -> None:
    """Flood an address with a number of clients for some seconds."""
    tasks = [
        asyncio.create_task(
            FloodClient(kind, f"{kind.value}{seed}-{n}", request_class, random.Random(seed + n)).run(address)
        )
        for n in range(clients)
    ]
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await asyncio.gather(*tasks)


@click.command()
@click.argument("kind", type=click.Choice([kind.value for kind in FloodKind]))
@click.argument("host")
@click.argument("port", type=int)
@click.option("--clients", default=8, show_default=True, help="number of clients")
@click.option("--seconds", default=5.0, show_default=True, help="duration of the flood")
@click.option("--request-class", default="read", show_default=True, help="class of sound requests")
@click.option("--seed", default=1, show_default=True, help="seed of the clients' choices")
def main(
    *, kind: str, host: str, port: int, clients: int, seconds: float, request_class: str, seed: int
) -> None:
    """Flood the router at HOST and PORT with clients of a kind."""
    asyncio.run(
        flood(
            FloodKind(kind),
            (host, port),
            clients=clients,
            seconds=seconds,
            request_class=request_class,
            seed=seed,
        )
    )


if __name__ == "__main__":
    sys.exit(main())
