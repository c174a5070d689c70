"""Case 2: commands that wait behind the 32nd of a connection get no answer once the router is told to end."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import tempfile
from contextlib import suppress
from pathlib import Path

import standins
from standins import Fleet, Record, Request, Router

SEED = 1
ORIGIN_WORK = (0.1, 0.13)  # seconds; the site states 0.094 to 0.24 s
CLIENTS = 3
COMMANDS = 40  # commands that a client sends at once
WAIT = 0.8  # seconds for which a client waits: 50 to 80% of the give-up time of 1.2 s
PERIOD = 0.5  # seconds between the bursts of a client
BURSTS_BEFORE = 6  # bursts before SIGTERM
TERM_AFTER_BURST = 0.08  # seconds between a burst and SIGTERM; the next burst is sent 0.42 s after SIGTERM
SIGKILL_AFTER = 2.0  # seconds after SIGTERM; the page sets the longest deadline plus 0.7 s, 1.9 s, at least
LATE = 0.5 + 0.05  # seconds after its time at which a request without an answer is lost; slack on sockets
CROSSING = 0.3  # seconds before a close in which a request may cross it, unread


class Client:
    """A client that sends many commands at once on its connection, and reads the answers in order."""

    def __init__(self, name: str, router: Router, fleet: Fleet) -> None:
        """Create a client without requests."""
        self.bursts: list[list[Request]] = []
        self._name = name
        self._router = router
        self.fleet = fleet

    async def run(self, started_at: float, count: int) -> None:
        """Send a burst each PERIOD, as long as the connection stays open."""
        reader, writer = await asyncio.open_connection(standins.HOST, self._router.port)
        with suppress(OSError, EOFError):
            for number in range(count):
                await asyncio.sleep(max(0.0, started_at + number * PERIOD - self.fleet.record.now()))
                if reader.at_eof() or writer.is_closing():
                    break
                await self._burst(number, reader, writer)
        writer.transport.abort()

    async def _burst(self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        record = self.fleet.record
        burst = [self._request(number, position) for position in range(COMMANDS)]
        self.bursts.append(burst)
        writer.write(b"".join(request.encode() for request in burst))
        for request in burst:
            request.sent_at = record.now()
        record.add(f"{self._name}: sent {burst[0].request_id} to {burst[-1].request_id} at once")
        try:
            for request in burst:
                request.answer, request.value = await standins.read_answer(reader)
                request.answered_at = record.now()
                record.add(f"{self._name}: {request.request_id} {request.answer} {request.value!r}")
        finally:
            for request in burst:
                if request.answered_at is None:
                    request.closed_at = record.now()
                    record.add(f"{self._name}: {request.request_id} connection ended without an answer")

    def _request(self, number: int, position: int) -> Request:
        """Return a request; the first key of a burst is wanted only once, the others are popular."""
        request_id = f"{self._name}x{number:03d}x{position:02d}"
        key = f"page:once-{request_id}" if position == 0 else f"page:{self.fleet.random.randrange(60)}"
        return Request(request_id, key, "page-read", WAIT)


def judge(clients: list[Client], record: Record) -> int:
    """Check that each request got its one answer in time, with the excuses of the pages."""
    lost = wrong = count = 0
    for client in clients:
        for burst in client.bursts:
            ahead = 0.0  # time at which the answer ahead came; waiting for it does not count
            for request in burst:
                count += 1
                start = max(request.sent_at, ahead)
                ahead = request.answered_at or ahead
                if request.answered_at is not None and request.answered_at <= start + WAIT + LATE:
                    good = standins.value_of(request.key, request.request_id)
                    wrong += request.answer == "served" and request.value != good
                elif request.closed_at is None or request.closed_at - request.sent_at > CROSSING:
                    lost += 1
                    record.add(f"LOST: {request.request_id}, sent at {request.sent_at:.4f}")
    record.add(f"{count} requests, {lost} lost, {wrong} with a wrong value")
    print(f"{count} requests, {lost} lost, {wrong} with a wrong value")
    return standins.BROKEN if lost or wrong else standins.HELD


async def play(record: Record, folder: Path) -> int:
    """Play the case once."""
    fleet = Fleet(record, random.Random(SEED), origin_work=ORIGIN_WORK)
    await fleet.open(cache_count=9)
    for cache in fleet.caches:
        cache.kept.update(f"page:{number}" for number in range(60))
    router = Router(folder, fleet, standins.settings(), SEED)
    try:
        await router.start()
        trouble = standins.is_trouble()
        clients = [Client(f"c{number}", router, fleet) for number in range(CLIENTS)]
        started_at = record.now() + 0.2
        count = BURSTS_BEFORE + 4
        tasks = [asyncio.create_task(client.run(started_at, count)) for client in clients]
        if trouble:
            term_at = started_at + (BURSTS_BEFORE - 1) * PERIOD + TERM_AFTER_BURST
            await asyncio.sleep(term_at - record.now())
            router.send(signal.SIGTERM)
            if await router.wait(SIGKILL_AFTER) is None:
                router.send(signal.SIGKILL)
        await asyncio.gather(*tasks)
        if not trouble:
            router.send(signal.SIGTERM)
            await router.wait(SIGKILL_AFTER)
        return judge(clients, record)
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
