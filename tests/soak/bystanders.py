"""Clients with few requests, which floods of other clients must not keep from their answers in time."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

import hiredis

from tests.soak.upstreams import value_of

THINK_TIME = (0.01, 0.04)  # range of the pause between two requests, in seconds
DEADLINES = (0.05, 0.3)  # range in seconds
REPLY_TIMEOUT = 2.0  # seconds after a deadline after which a reply counts as one that never comes
LATE_AFTER = 0.05  # seconds after the deadline from which a reply is late
LOST_AFTER = 0.5  # seconds after the deadline from which a reply is lost
KEY_COUNT = 40


@dataclass(slots=True)
class BystanderRequest:
    """One request; times are those of the event loop, in seconds."""

    sent_at: float
    deadline: float  # seconds after `sent_at`
    answered_at: float = math.inf
    is_served: bool = False
    has_foreign_value: bool = False

    @property
    def lateness(self) -> float:
        """Seconds from the deadline to the reply; negative if the reply was in time."""
        return self.answered_at - self.sent_at - self.deadline


class Bystander:
    """A client that sends one request at a time, and waits for its reply."""

    def __init__(
        self, name: str, address: tuple[str, int], request_class: str, seed: int, reconnects: bool
    ) -> None:
        """Create a client; with `reconnects` it opens a new connection for each request."""
        self.requests: list[BystanderRequest] = []
        self._name = name
        self._address = address
        self._request_class = request_class
        self._generator = random.Random(seed)
        self._reconnects = reconnects
        self._now = asyncio.get_running_loop().time

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, and wait for the last reply."""
        end = self._now() + seconds
        stream: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        for number in itertools.count():
            if self._now() >= end:
                break
            if stream is None:
                stream = await asyncio.open_connection(*self._address)
            is_answered = await self._request(number, *stream)
            if self._reconnects or not is_answered:
                stream[1].transport.abort()
                stream = None
            await asyncio.sleep(self._generator.uniform(*THINK_TIME))
        if stream is not None:
            stream[1].transport.abort()

    async def _request(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Send a request, and return whether its reply has come."""
        key, request_id = f"k{self._generator.randrange(KEY_COUNT)}", f"{self._name}-{number}"
        deadline = self._generator.uniform(*DEADLINES)
        info = f"c={self._request_class},t=x,d={int(deadline * 1000)}"
        command: list[str | bytes] = ["C.GET", key, request_id, info]
        request = BystanderRequest(self._now(), deadline)
        self.requests.append(request)
        writer.write(bytes(hiredis.pack_command(tuple(command))))  # type: ignore[arg-type]
        try:
            async with asyncio.timeout(deadline + REPLY_TIMEOUT):
                reply = await _read_reply(reader)
        except (OSError, EOFError):  # a timeout is an OSError
            return False
        request.answered_at = self._now()
        request.is_served = isinstance(reply, bytes)
        is_own_value = reply == value_of(key.encode(), request_id.encode())
        request.has_foreign_value = request.is_served and not is_own_value
        return True


async def _read_reply(reader: asyncio.StreamReader) -> object:
    """Read one reply.

    Raises:
        EOFError: The router has closed the connection.
    """
    parser = hiredis.Reader(notEnoughData=Ellipsis)
    while (reply := parser.gets()) is Ellipsis:
        data = await reader.read(65536)
        if not data:
            raise EOFError
        parser.feed(data)
    return reply


@dataclass(slots=True, frozen=True)
class Summary:
    """What a group of clients saw."""

    sent: int
    served: int
    late: int
    lost: int
    foreign: int
    worst: float  # seconds after the deadline

    def __str__(self) -> str:
        return (
            f"{self.sent} sent, {self.served} served, {self.late} late, {self.lost} lost, "
            f"{self.foreign} with a foreign value, worst {self.worst * 1000:.0f} ms past its time"
        )


def summarize(bystanders: Iterable[Bystander], tolerance: float = 0.0) -> Summary:
    """Count the requests of clients; `tolerance` in seconds is added to each time limit."""
    requests = [request for bystander in bystanders for request in bystander.requests]
    return Summary(
        sent=len(requests),
        served=sum(request.is_served for request in requests),
        late=sum(request.lateness > LATE_AFTER + tolerance for request in requests),
        lost=sum(request.lateness > LOST_AFTER + tolerance for request in requests),
        foreign=sum(request.has_foreign_value for request in requests),
        worst=max((request.lateness for request in requests), default=-math.inf),
    )
