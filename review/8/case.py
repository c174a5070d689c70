"""Page caches hang while clients pipeline reads of large pages: the router exceeds its memory limit."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins_2 import (
    TROUBLE,
    Agent,
    Cache,
    Record,
    Router,
    configuration,
    encode,
    entry,
    read_class,
    read_message,
    request_id,
    run_case,
    served,
    settings,
)

SEED = 8
CACHES, HANGING = 10, 5
CLIENTS = 245  # connections; at most a third of 1,024 descriptors
MOST_OUTSTANDING = 32  # commands of one client that await their replies
READS_PER_S = 5  # of one client
GIVE_UP, DEADLINE_MS = 10.0, 8000  # the clients give a try up after four fifths of the give-up time
VALUE = 65_536  # bytes, the most that a value has
LIMIT_MB = 192 * 1024 * 1024 / 1e6  # 192 MiB, the larger reading of 192 MB
HANG_AT, HANG_FOR, ENDS_AT = 8.0, 9.0, 22.0
PADDING = b"x" * VALUE


async def answer(_cache: Cache, parts: list[bytes]) -> bytes:
    """Answer a read with a value that is made for the request."""
    await asyncio.sleep(random.uniform(0.12, 0.2))
    return served((parts[2] + PADDING)[:VALUE], b"svc_ms=150,pending=0")


class Client:
    """A client that sends many commands on one connection, and reads the replies as they come."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.outstanding: list[tuple[str, float]] = []
        self.counts = {"served": 0, "refused": 0, "failed": 0, "wrong": 0, "unanswered": 0}

    async def run(self, port: int, ends_at: float) -> None:
        """Send reads until a time, and wait for the replies."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**18)
        replies = asyncio.create_task(self._read_replies(reader))
        with suppress(OSError):
            while time.monotonic() < ends_at and not replies.done():
                await asyncio.sleep(random.expovariate(READS_PER_S))
                if len(self.outstanding) < MOST_OUTSTANDING:
                    identity = request_id()
                    self.outstanding.append((identity, time.monotonic()))
                    info = f"c=page-read,t=acme,d={DEADLINE_MS}"
                    writer.write(encode("C.GET", f"page:{random.randrange(5000)}", identity, info))
            for _ in range(DEADLINE_MS // 50 + 12):
                if self.outstanding and not replies.done():
                    await asyncio.sleep(0.05)
        replies.cancel()
        self.counts["unanswered"] += len(self.outstanding)
        writer.close()

    async def _read_replies(self, reader: asyncio.StreamReader) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                reply = await read_message(reader)
                identity, sent_at = self.outstanding.pop(0)
                if isinstance(reply, bytes):
                    outcome = "served" if reply.startswith(identity.encode()) else "wrong"
                else:
                    outcome = "refused" if str(reply).startswith("-BUSY") else "failed"
                self.counts[outcome] += 1
                self._record.line(f"{identity} {outcome} after {time.monotonic() - sent_at:.3f} s")


async def play(record: Record, folder: Path, routers: list[Router]) -> bool:
    """Play the case; return whether the router stayed within its memory limit and ran to the end."""
    random.seed(SEED)
    agent = Agent()
    await agent.start()
    caches = [Cache(f"s-{i:08x}", answer) for i in range(CACHES)]
    for cache in caches:
        await cache.start()
        agent.entries[cache.name] = entry(cache.name, cache.port)
    its_settings = settings(
        classes=[read_class(aim=2.0, giveUp=GIVE_UP, effect="single_shot")], limits={"secondCopies": False}
    )
    router = Router(configuration(agent, its_settings, SEED), folder)
    routers.append(router)
    await router.ready()
    started_at = time.monotonic()
    clients = [Client(record) for _ in range(CLIENTS)]
    tasks = [asyncio.create_task(c.run(router.port, started_at + ENDS_AT)) for c in clients]
    record.say(f"{CLIENTS} clients send; the router has {router.memory_mb('VmRSS'):.0f} MB")
    peak, hung, ended = 0.0, False, False
    while not all(task.done() for task in tasks) and not ended:
        await asyncio.sleep(0.25)
        now = time.monotonic() - started_at
        if TROUBLE and hung != (HANG_AT <= now < HANG_AT + HANG_FOR):
            hung = not hung
            for cache in caches[:HANGING]:
                cache.hang(hung)
            record.say(f"{HANGING} of {CACHES} page caches {'hang' if hung else 'go on'} at {now:.1f} s")
        memory = router.memory_mb("VmRSS")
        peak = max(peak, router.memory_mb("VmHWM"))
        record.line(f"the router has {memory:.1f} MB, {peak:.1f} MB at most")
        ended = router.process.poll() is not None
    total = {name: sum(client.counts[name] for client in clients) for name in clients[0].counts}
    record.say(f"requests: {total}; memory at most {peak:.1f} MB of {LIMIT_MB:.1f} MB; router ended: {ended}")
    return peak <= LIMIT_MB and not ended


def main() -> None:
    """Run the case."""
    run_case(Path(__file__).resolve().parent, play)


if __name__ == "__main__":
    main()
