"""Clients of several kinds, which reuse a connection until the router closes it."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections import deque
from contextlib import suppress
from typing import Any

import hiredis

from tests.soak.observations import Observations, SentRequest
from tests.soak.plan import ClientKind

KEY_COUNT = 40
THINK_TIME = (0.02, 0.2)  # range of the pause between batches, in seconds
RECONNECT_DELAY = 0.05  # seconds
NOT_READING_TIME = 1.0  # seconds for which a client of kind NOT_READING reads nothing
REST_TIME = 3.0  # seconds between the batches of a client of kind RESTING
SMALL_BATCH = (3, 8)  # range of the requests that a client of kind PIPELINING sends at once
LARGE_BATCH = (33, 120)  # more than a router processes at a time on one connection
LARGE_BATCH_SHARE = 0.2
MAX_BATCH_DEADLINES = 9  # replies to a batch arrive in order, and each may take until its own deadline
MAX_SENDS = 2  # a request is sent again when its connection closes before the reply


class Client:
    """A client that opens a new connection whenever the current one closes."""

    def __init__(
        self,
        name: str,
        kind: ClientKind,
        *,
        address: tuple[str, int],
        classes: list[dict[str, Any]],
        generator: random.Random,
        observations: Observations,
    ) -> None:
        """Create a client, which connects once `run` is called."""
        self.name = name
        self.kind = kind
        self._address = address
        self._classes = classes
        self._generator = generator
        self._observations = observations
        self._numbers = itertools.count()
        self._now = asyncio.get_running_loop().time
        self._batch: list[SentRequest] = []  # requests sent last on the current connection
        self._to_resend: deque[SentRequest] = deque()  # requests to send again on a new connection

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            try:
                reader, writer = await asyncio.open_connection(*self._address)
            except OSError:
                await asyncio.sleep(RECONNECT_DELAY)
                continue
            self._batch = []
            try:
                await self._use_connection(reader, writer)
            except OSError:
                self._record_router_close([request for request in self._batch if request.answered_at is None])
            except asyncio.CancelledError:
                self._record_client_close()
                raise
            finally:
                writer.transport.abort()
            await asyncio.sleep(RECONNECT_DELAY)

    def _record_client_close(self) -> None:
        for request in self._batch:
            if request.answered_at is None:
                request.client_closed_at = self._now()

    async def _use_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send requests on a connection until one side closes it."""
        parser = hiredis.Reader(notEnoughData=Ellipsis)
        while True:
            batch = self._batch = [self._next_request() for _ in range(self._batch_size())]
            await self._send_batch(batch, writer)
            if self.kind is ClientKind.LEAVING and self._generator.random() < 0.5:
                await asyncio.sleep(self._generator.uniform(0.0, 0.1))
                self._record_client_close()
                return
            if self.kind is ClientKind.NOT_READING:
                await asyncio.sleep(NOT_READING_TIME)
            for position, request in enumerate(batch):
                if not await self._read_reply(request, reader, parser):
                    self._record_router_close(batch[position:])
                    return
            if parser.gets() is not Ellipsis:
                self._observations.violations.append(
                    f"replies: {self.name} got more replies than it sent requests"
                )
            is_resting = self.kind is ClientKind.RESTING
            pause = REST_TIME if is_resting else self._generator.uniform(*THINK_TIME)
            await self._stay_idle(reader, pause)
            if reader.at_eof():
                return

    async def _stay_idle(self, reader: asyncio.StreamReader, pause: float) -> None:
        """Send nothing for `pause` seconds; any data that arrives in that time is a violation."""
        with suppress(TimeoutError):
            async with asyncio.timeout(pause):
                if await reader.read(1):
                    self._observations.violations.append(
                        f"replies: {self.name} got an unexpected reply while idle"
                    )

    def _batch_size(self) -> int:
        if self.kind is not ClientKind.PIPELINING:
            return 1
        is_large = self._generator.random() < LARGE_BATCH_SHARE
        return self._generator.randint(*(LARGE_BATCH if is_large else SMALL_BATCH))

    def _next_request(self) -> SentRequest:
        if self._to_resend:
            request = self._to_resend.popleft()
            request.sends += request.sent_at < math.inf
            request.sent_at, request.router_closed_at = math.inf, None
            return request
        request_class = self._generator.choices(self._classes, weights=[8, 1, 1])[0]
        request_id = f"{self.name}-{next(self._numbers)}"
        request = SentRequest(
            request_id,
            request_class["name"],
            f"k{self._generator.randrange(KEY_COUNT)}",
            is_write=request_class["name"] == "keyed",
            sent_at=math.inf,
            deadline=self._generator.choice([0.3, 0.6, 1.0]) * request_class["giveUp"],
            client=self.kind.value,
        )
        self._observations.requests[request_id] = request
        return request

    async def _send_batch(self, batch: list[SentRequest], writer: asyncio.StreamWriter) -> None:
        data = b"".join(encode_command(request) for request in batch)
        if self.kind is ClientKind.SLOWLY_WRITING:
            split_at = self._generator.randrange(1, len(data))
            writer.write(data[:split_at])
            await asyncio.sleep(self._generator.uniform(0.0, 0.2))
            data = data[split_at:]
        if writer.transport.is_closing():
            raise ConnectionResetError
        for request in batch:
            request.sent_at = self._now()
        writer.write(data)

    async def _read_reply(
        self, request: SentRequest, reader: asyncio.StreamReader, parser: hiredis.Reader
    ) -> bool:
        """Read the next reply; return False if the connection closes before it."""
        while (reply := parser.gets()) is Ellipsis:
            # This timeout ends the wait for a reply that never arrives. Deadlines are checked after the run.
            async with asyncio.timeout(request.deadline * MAX_BATCH_DEADLINES + 2.0):
                data = await reader.read(65536)
            if not data:
                return False
            parser.feed(data)
        request.reply = reply
        request.answered_at = self._now()
        return True

    def _record_router_close(self, unanswered: list[SentRequest]) -> None:
        for request in unanswered:
            request.router_closed_at = self._now()
            if request.sends < MAX_SENDS:
                self._to_resend.append(request)


def encode_command(request: SentRequest) -> bytes:
    """Return the RESP command of a request."""
    info = f"c={request.request_class},t=x,d={int(request.deadline * 1000)}"
    if request.request_class == "keyed":
        info += f",k=key-{request.request_id}"
    parts: list[str] = ["C.SET" if request.is_write else "C.GET", request.key, request.request_id, info]
    if request.is_write:
        parts.append("value")
    return bytes(hiredis.pack_command(tuple(parts)))  # type: ignore[arg-type]


async def hold_idle_connections(address: tuple[str, int], count: int) -> None:
    """Hold `count` connections on which nothing is sent, and replace those that the router closes."""

    async def hold_connection() -> None:
        while True:
            with suppress(OSError):
                reader, writer = await asyncio.open_connection(*address)
                try:
                    await reader.read()
                finally:
                    writer.transport.abort()
            await asyncio.sleep(0.3)

    await asyncio.gather(*(hold_connection() for _ in range(count)))
