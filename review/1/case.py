"""Case 1: a caller gets the value of another request, from an answer that a cache server sent twice."""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import tempfile
from collections import Counter
from pathlib import Path

import standins
from standins import Cache, Fleet, Record, Request, Router

SEED = 3
CLIENTS = 14
SECONDS = 25.0  # duration of the load
PAUSE = (0.02, 0.08)  # range of seconds between two requests of a client; all send about 140 in a second
WAIT = 0.8  # seconds for which a client waits: 50 to 80% of the give-up time of 1.2 s
KEYS = 60
SECOND_ANSWER_SHARE = 0.2  # share of the answers that are sent twice
SECOND_ANSWER_DELAY = (0.0005, 0.002)  # seconds: "right behind", "some milliseconds late"


class AnsweringTwice(Cache):
    """A cache server that sends some answers a second time, when nothing else waits on the connection."""

    second_answers = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection with the default of the system: no TCP_NODELAY, which asyncio would set."""
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 0)
        await super().serve(reader, writer)

    async def follow(
        self, answer: bytes, writer: asyncio.StreamWriter, following: asyncio.Task[list[bytes]]
    ) -> None:
        """Send the answer again, unless another command has arrived."""
        draw = self.fleet.random
        if not standins.is_trouble() or draw.random() >= SECOND_ANSWER_SHARE:
            return
        await asyncio.wait({following}, timeout=draw.uniform(*SECOND_ANSWER_DELAY))
        if not following.done():
            writer.write(answer)
            AnsweringTwice.second_answers += 1
            self.fleet.record.add(f"{self.name}: sent {answer!r} again")


async def run_client(name: str, until: float, fleet: Fleet, router: Router) -> list[Request]:
    """Send one read after the other on a connection, and return them."""
    record, draw = fleet.record, random.Random(f"{SEED}{name}")
    requests = []
    reader, writer = await asyncio.open_connection(standins.HOST, router.port)
    while record.now() < until:
        await asyncio.sleep(draw.uniform(*PAUSE))
        request_id = f"{name}x{len(requests):04d}"
        request = Request(request_id, f"page:{draw.randrange(KEYS)}", "page-read", WAIT)
        requests.append(request)
        writer.write(request.encode())
        request.sent_at = record.now()
        record.add(f"{name}: sent {request_id} {request.key}")
        request.answer, request.value = await standins.read_answer(reader)
        request.answered_at = record.now()
        record.add(f"{name}: {request_id} {request.answer} {request.value!r}")
    writer.transport.abort()
    return requests


def judge(requests: list[Request], record: Record) -> int:
    """Check that each value that was served is the one that a cache server made for this request."""
    foreign = [
        r for r in requests if r.answer == "served" and r.value != standins.value_of(r.key, r.request_id)
    ]
    for request in foreign:
        record.add(f"FOREIGN: {request.request_id} for {request.key} was served {request.value!r}")
    answers = dict(Counter(request.answer for request in requests))
    text = (
        f"{len(requests)} requests: {answers}; {AnsweringTwice.second_answers} answers were sent twice; "
        f"{len(foreign)} requests were served another request's value"
    )
    record.add(text)
    print(text)
    return standins.BROKEN if foreign else standins.HELD


async def play(record: Record, folder: Path) -> int:
    """Play the case once."""
    fleet = Fleet(record, random.Random(SEED))
    await fleet.open(9, AnsweringTwice)
    for cache in fleet.caches:
        cache.kept.update(f"page:{number}" for number in range(KEYS))
    router = Router(folder, fleet, standins.settings(), SEED)
    try:
        await router.start()
        until = record.now() + SECONDS
        clients = [run_client(f"c{number}", until, fleet, router) for number in range(CLIENTS)]
        requests = [request for part in await asyncio.gather(*clients) for request in part]
        return judge(requests, record)
    finally:
        await router.end()
        fleet.close()


def main() -> int:
    """Run the case, and return its exit status."""
    record = Record(Path(__file__).parent)
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(asyncio.wait_for(play(record, Path(folder)), 100))
    except Exception as error:
        record.add(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        return standins.NOT_RUN
    finally:
        record.write()


if __name__ == "__main__":
    sys.exit(main())
