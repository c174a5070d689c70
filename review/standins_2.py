"""Stand-ins of the second review: the start of a router, its agent of discovery, page caches, settings.

They follow the pages: page caches speak RESP2, and the agent answers a poll at once, or holds a watch until
the list changes. Clients and origins are in the cases. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
READY_TIMEOUT = 30.0  # seconds that the pages give a router to be ready


class CaseError(Exception):
    """The case could not run."""


class Record:
    """The file `record.txt` of a case: lines with the seconds since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self._started_at = time.monotonic()

    def line(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line, and print it too."""
        self.line(text)
        print(text, flush=True)


def raise_descriptor_limit(count: int) -> None:
    """Allow this process `count` descriptors, within its hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < count:
        raise CaseError(f"{count} descriptors are needed, {hard} are allowed")
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, count), hard))


def free_port() -> int:
    """Return a port of loopback that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# RESP2


def encode(*parts: str | bytes) -> bytes:
    """Encode a command."""
    blobs = [part.encode() if isinstance(part, str) else part for part in parts]
    return b"*%d\r\n" % len(blobs) + b"".join(b"$%d\r\n%b\r\n" % (len(blob), blob) for blob in blobs)


async def read_message(reader: asyncio.StreamReader) -> Any:
    """Read a RESP2 message: bytes, None, a list, or text that begins with its type (`+`, `-`, `:`)."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    kind, rest = line[:1], line[1:]
    if kind == b"$":
        if int(rest) < 0:
            return None
        return (await reader.readexactly(int(rest) + 2))[:-2]
    if kind == b"*":
        return None if int(rest) < 0 else [await read_message(reader) for _ in range(int(rest))]
    return line.decode("latin-1")


def info_fields(info: bytes) -> dict[str, str]:
    """Return the names and values of a command."""
    return dict(pair.split("=", 1) for pair in info.decode().split(","))


# Router


class Router:
    """A router that `run` of the deploy file has started."""

    def __init__(self, config: dict[str, Any], folder: Path, name: str = "n0") -> None:
        self.port = free_port()
        self.config = config | {"name": name, "listen": f"127.0.0.1:{self.port}"}
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.log = folder / f"{name}.log"
        environment = os.environ | {
            "RELAY_CONFIG": str(self._path),
            "RELAY_NAME": name,
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": config["discovery"],
            "TMPDIR": str(folder),
        }
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    async def ready(self) -> None:
        """Wait until the router replies `+PONG` to a `PING`."""
        until = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CaseError(f"the router has ended: {self.log.read_text()[-400:]}")
            with suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(encode("PING"))
                    if await read_message(reader) == "+PONG":
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise CaseError("the router is not ready")

    def memory_mb(self, field: str) -> float:
        """Return a field of the memory of the process, in units of a million bytes; 0 once it has ended."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


# Discovery


class Agent:
    """The agent of discovery on the router's machine: it replies at once with what it holds.

    A watch (`wait_ms`) is held until the list changes or the time is over.
    """

    def __init__(self) -> None:
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._change = asyncio.Condition()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=256)
        self.port = server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address for the configuration."""
        return f"127.0.0.1:{self.port}"

    def known(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for entry in self.entries.values() if entry["status"] != "terminated"]
        return {"index": self.index, "snapshot": True, "endpoints": listed}

    async def change(self, *entries: dict[str, Any]) -> None:
        """Change or add entries; all open watches are answered."""
        async with self._change:
            self.index += 1
            for entry in entries:
                self.entries[entry["name"]] = entry
                self._changed_at[entry["name"]] = self.index
            self._change.notify_all()

    def _changes(self, after: int) -> dict[str, Any]:
        changed = [self.entries[name] for name, index in self._changed_at.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
            if "after" in query:
                after = int(query["after"])
                with suppress(TimeoutError):
                    async with asyncio.timeout(int(query.get("wait_ms", "0")) / 1000), self._change:
                        await self._change.wait_for(lambda: self.index > after)
                message = self._changes(after)
            else:
                message = self.known()
            body = json.dumps(message).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                b"Connection: close\r\n\r\n%b" % (len(body), body)
            )
            await writer.drain()
        writer.close()


def entry(name: str, port: int, **fields: Any) -> dict[str, Any]:
    """Return an entry of the list."""
    return {
        "name": name,
        "address": f"127.0.0.1:{port}",
        "zone": "a",
        "type": "std",
        "group": 0,
        "status": "in_service",
        "weight": 1.0,
        "since_ms": 0,
    } | fields


# Page caches


class Cache:
    """A page cache. `answer` gets the parts of a command and returns the reply, or None for none."""

    def __init__(self, name: str, answer: Callable[[Cache, list[bytes]], Awaitable[bytes | None]]) -> None:
        self.name = name
        self._answer = answer
        self.port = 0
        self.hangs = asyncio.Event()  # set while the process hangs: it reads and answers nothing
        self._goes_on = asyncio.Event()
        self._goes_on.set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, backlog=512, limit=2**18)
        self.port = server.sockets[0].getsockname()[1]

    def hang(self, hangs: bool) -> None:
        """Hang, or go on."""
        if hangs:
            self.hangs.set()
            self._goes_on.clear()
        else:
            self.hangs.clear()
            self._goes_on.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                parts = await read_message(reader)
                await self._goes_on.wait()
                if not isinstance(parts, list) or parts[0].upper() not in (b"C.GET", b"C.SET"):
                    writer.write(b"-SYNTAX\r\n")
                    continue
                reply = await self._answer(self, parts)
                await self._goes_on.wait()
                if reply is not None:
                    writer.write(reply)
                    await writer.drain()
        writer.close()


def served(value: bytes, report: bytes | None = b"svc_ms=10,pending=0") -> bytes:
    """Encode a page cache's answer with a value."""
    tail = b"$-1\r\n" if report is None else b"$%d\r\n%b\r\n" % (len(report), report)
    return b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n" % (len(value), value) + tail


# Settings of a small deployment, named as on the page of the wire


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; a dict among the changes is merged."""
    base: dict[str, Any] = {
        "areas": ["a"],
        "classes": [read_class()],
        "clients": {"marksRetry": False},
        "family": "cache",
        "familyInfo": {"mode": "through", "originKind": -1},
        "skus": ["std", "origin"],
        "limits": {
            "connIdle": 10.0,
            "dialTimeout": 0.12,
            "maxRetryAfter": 1.2,
            "mayCancel": True,
            "mostHeld": 20000,
            "mostTries": 4,
            "multiplex": 32,
            "peers": False,
            "probes": False,
            "retryAfter": False,
            "secondCopies": True,
        },
        "loadReport": {"fields": ["svc_ms", "pending"], "how": "piggyback"},
        "membershipMode": "automatic",
        "resolution": 0.005,
        "rules": {
            "answerSlack": 0.02,
            "coldFrom": 0.32,
            "fallMultiple": 4.0,
            "mustAskIn": 10.0,
            "overloadFor": 2.0,
            "rampTime": 8.9,
            "stopSendingWithin": 0.5,
        },
        "siblings": 1,
        "weights": "silent",
        "zone": "a",
    }
    for name, value in changes.items():
        base[name] = base[name] | value if isinstance(value, dict) else value
    return base


def read_class(**changes: Any) -> dict[str, Any]:
    """Return the class `page-read`, which may be repeated."""
    return {
        "name": "page-read",
        "aim": 0.3,
        "giveUp": 1.2,
        "effect": "free",
        "group": "all",
        "repeatWindow": 5.0,
        "streaming": False,
        "value": 3.0,
    } | changes


def configuration(agent: Agent, its_settings: dict[str, Any], seed: int = 1) -> dict[str, Any]:
    """Return a router's configuration."""
    return {
        "discovery": agent.address,
        "seed": f"{seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": agent.known(),
        "settings": its_settings,
    }


def request_id() -> str:
    """Return a new id of a request."""
    return f"{random.getrandbits(64):016x}"


# Cases


def run_case(
    folder: Path, play: Callable[[Record, Path, list[Router]], Awaitable[bool]], seconds: float = 110.0
) -> None:
    """Play a case, end all routers, and exit; `play` returns whether the rule held."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # the routers are ended then, too
    record = Record(folder)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    routers: list[Router] = []

    async def main() -> int:
        try:
            raise_descriptor_limit(2048)
            async with asyncio.timeout(seconds):
                return HELD if await play(record, temporary, routers) else BROKEN
        except (CaseError, TimeoutError, OSError) as error:
            record.say(f"the case could not run: {error!r}")
            return NOT_RUN

    status = NOT_RUN
    try:
        status = asyncio.run(main())
    finally:
        for router in routers:
            router.kill()
            record.line(f"log of {router.config['name']}: {router.log.read_text()[-4000:]}")
        shutil.rmtree(temporary, ignore_errors=True)
    record.say(f"trouble: {TROUBLE}, result: {('held', 'BROKEN', 'not run')[status]}")
    sys.stdout.flush()
    os._exit(status)  # at once: the streams that are still open need no event loop any more
