"""Stand-ins for clients, cache servers, the origin and discovery, and the router's process.

They need the standard library alone and follow the protocol page. A case starts the router with the `run`
command of the deploy file, on loopback addresses and free ports, its configuration in a temporary folder.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import socket
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import unquote_to_bytes

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
CACHE_TYPE, ORIGIN_TYPE = "std-1c", "origin"
HELD, BROKEN, NOT_RUN = 0, 1, 2  # exit statuses of a case
REPORT = "svc_ms=%.1f,pending=0"


class Record:
    """The record of a run, in seconds since its start; it is written to `record.txt` in the case's folder."""

    def __init__(self, folder: Path) -> None:
        """Start an empty record."""
        self._path = folder / "record.txt"
        self._started_at = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the record."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self._lines.append(f"{self.now():9.4f} {text}")

    def write(self) -> None:
        """Write the record to its file."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass(eq=False)
class Request:
    """A client's request and what became of it; times are those of the record."""

    request_id: str
    key: str
    request_class: str
    wait: float  # seconds for which the client waits
    is_write: bool = False
    sent_at: float = -1.0  # time at which its last byte was written
    answered_at: float | None = None
    answer: str = ""  # "served", "refused" or "failed"
    value: bytes = b""
    closed_at: float | None = None  # time at which the router ended the connection without an answer

    def encode(self) -> bytes:
        """Return the command."""
        info = f"c={self.request_class},t=fjord,d={int(self.wait * 1000)}"
        if self.is_write:
            info += f",k=key-{self.request_id}"
        parts = ["C.SET" if self.is_write else "C.GET", self.key, self.request_id, info]
        return encode_array(parts + (["value"] if self.is_write else []))


def encode_array(parts: list[str]) -> bytes:
    """Return an array of bulk strings."""
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%b\r\n" % (len(p), p.encode()) for p in parts)


def encode_bulk(text: bytes) -> bytes:
    """Return a bulk string."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


def value_of(key: str, request_id: str) -> bytes:
    """Return the value that a server gives for a key in the answer to one request."""
    return f"{key}|{request_id}".encode()


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a command: an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(size + 2))[:-2])
    return parts


async def read_answer(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read the router's answer to one command, as ("served", "refused" or "failed", text)."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line.startswith(b"$") and line != b"$-1":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    return ("refused" if line.startswith(b"-BUSY") else "failed"), line


class Server:
    """A listener on a free port, which ends its connections with it."""

    def __init__(self) -> None:
        """Create a server that does not listen yet."""
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address as `host:port`."""
        return f"{HOST}:{self.port}"

    async def open(self) -> None:
        """Listen, on the same port as before if there was one."""
        self._server = await asyncio.start_server(self._accept, HOST, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


class Cache(Server):
    """A cache server: it answers a hit or a miss, and stores what the origin has answered."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        """Create an empty cache server."""
        super().__init__()
        self.name = name
        self.kept: set[str] = set()
        self.fleet = fleet

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer commands in their order, each after its work."""
        following = asyncio.create_task(read_array(reader))
        try:
            while True:
                command = await following
                answer = b"+PONG\r\n" if command[0] == b"PING" else await self._carry_out(command)
                writer.write(answer)
                following = asyncio.create_task(read_array(reader))
                await self.follow(answer, writer, following)
        finally:
            following.cancel()

    async def _carry_out(self, command: list[bytes]) -> bytes:
        """Work on a command, and return the answer."""
        verb, key, request_id = (part.decode() for part in command[:3])
        work = self.fleet.random.uniform(*self.fleet.cache_work)
        self.fleet.record.add(f"{self.name}: got {verb} {key} {request_id} {command[3].decode()}")
        await asyncio.sleep(work)
        is_hit = verb == "C.GET" and key in self.kept
        if not is_hit:
            self.fleet.missed.setdefault(request_id, []).append(self)
        self.fleet.record.add(f"{self.name}: {'hit' if is_hit else 'miss'} {request_id}")
        value = encode_bulk(value_of(key, request_id)) if is_hit else b"$-1\r\n"
        report = encode_bulk((REPORT % (work * 1000)).encode())
        return b"*3\r\n" + value + encode_bulk(b"hit" if is_hit else b"miss") + report

    async def follow(
        self, answer: bytes, writer: asyncio.StreamWriter, following: asyncio.Task[list[bytes]]
    ) -> None:
        """Send what follows an answer: nothing; `following` reads the next command of the connection."""


@dataclass
class OriginRequest:
    """A request that the origin has read."""

    method: str
    key: str
    request_id: str
    info: dict[str, str]


class Origin(Server):
    """The origin: HTTP/1.1, one request after the other on a connection."""

    name = "archive"

    def __init__(self, fleet: Fleet) -> None:
        """Create the origin, which answers with a length until `respond` is replaced."""
        super().__init__()
        self.respond: Callable[[OriginRequest, asyncio.StreamWriter], Awaitable[None]] = self.respond_soundly
        self.fleet = fleet

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            first, *lines = head.strip().split("\r\n")
            headers = {k.lower(): v.strip() for k, v in (line.split(":", 1) for line in lines)}
            await reader.readexactly(int(headers.get("content-length", 0)))
            method, target, _ = first.split()
            info = dict(pair.split("=", 1) for pair in headers["request-info"].split(","))
            key = unquote_to_bytes(target[1:]).decode()
            request = OriginRequest(method, key, headers["request-id"], info)
            self.fleet.record.add(f"origin: got {method} {key} {request.request_id} d={info['d']}")
            await self.respond(request, writer)

    async def respond_soundly(self, request: OriginRequest, writer: asyncio.StreamWriter) -> None:
        """Answer with the value and its length, after the origin's work."""
        await asyncio.sleep(self.fleet.random.uniform(*self.fleet.origin_work))
        body = value_of(request.key, request.request_id)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        self.finish(request)

    def finish(self, request: OriginRequest) -> None:
        """Record that a request has run; store the value where a read missed, void it after a write."""
        self.fleet.record.add(f"origin: answered {request.request_id}")
        for cache in self.fleet.missed.pop(request.request_id, [])[:2]:
            if request.method == "GET":
                cache.kept.add(request.key)
        if request.method == "PUT":
            for cache in self.fleet.caches:
                cache.kept.discard(request.key)


class Discovery(Server):
    """Discovery, or the agent on the router's machine: the list, its changes, and the watch on them."""

    def __init__(self, fleet: Fleet, name: str = "discovery") -> None:
        """Create discovery with an empty list."""
        super().__init__()
        self.name = name
        self.delay = 0.0  # seconds until a call is answered
        self.fleet = fleet

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            fleet = self.fleet
            fleet.record.add(f"{self.name}: got {head.split()[1]}")
            await asyncio.sleep(self.delay)
            query = re.search(r"after=(\d+)&wait_ms=(\d+)", head)
            after = int(query[1]) if query else None
            if query and after is not None and after >= fleet.version:
                with suppress(TimeoutError):
                    await asyncio.wait_for(fleet.changed.wait(), int(query[2]) / 1000)
            body = json.dumps(fleet.list_message(after)).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            fleet.record.add(f"{self.name}: told version {fleet.version} to a call after {after}")


@dataclass
class Fleet:
    """All servers and the endpoint list."""

    record: Record
    random: random.Random
    cache_work: tuple[float, float] = (0.03, 0.06)  # range in seconds
    origin_work: tuple[float, float] = (0.1, 0.2)  # range in seconds
    caches: list[Cache] = field(default_factory=list)
    missed: dict[str, list[Cache]] = field(default_factory=dict)  # caches that missed, by request id
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed_in: dict[str, int] = field(default_factory=dict)
    version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        """Create the origin and discovery."""
        self.origin = Origin(self)
        self.discovery = Discovery(self)
        self.servers: list[Server] = [self.origin, self.discovery]

    async def open(self, cache_count: int, make_cache: Callable[[str, Fleet], Cache] = Cache) -> None:
        """Start the servers and list them."""
        self.caches = [make_cache(f"cache-{i}", self) for i in range(cache_count)]
        self.servers += self.caches
        for server in self.servers:
            await server.open()
        for index, cache in enumerate(self.caches):
            self.put(cache.name, cache.address, CACHE_TYPE, zone="abc"[index % 3])
        self.put(self.origin.name, self.origin.address, ORIGIN_TYPE)

    def put(self, name: str, address: str, kind: str, *, zone: str = "a", status: str = "in_service") -> None:
        """Add or change an entry of the list."""
        self.version += 1
        self.changed_in[name] = self.version
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": zone,
            "type": kind,
            "group": 0,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }
        self.changed.set()
        self.changed = asyncio.Event()

    def list_message(self, after: int | None) -> dict[str, Any]:
        """Return the whole list, or the entries that changed after a version."""
        listed = [e for name, e in self.entries.items() if after is None or self.changed_in[name] > after]
        return {"index": self.version, "snapshot": after is None, "endpoints": listed}

    def close(self) -> None:
        """Stop all servers."""
        for server in self.servers:
            server.close()


def settings(mode: str = "automatic", **limits: Any) -> dict[str, Any]:
    """Return the settings of a small deployment with three classes of requests."""
    row = {"group": "all", "streaming": False, "lateWorth": 0.3}
    return {
        "classes": [
            {
                "name": "page-read",
                "aim": 0.3,
                "giveUp": 1.2,
                "effect": "free",
                "repeatWindow": 5.0,
                "value": 3.0,
            }
            | row,
            {
                "name": "save",
                "aim": 0.5,
                "giveUp": 1.0,
                "effect": "guarded",
                "repeatWindow": 5.0,
                "value": 2.0,
            }
            | row,
            {
                "name": "licence",
                "aim": 0.5,
                "giveUp": 1.2,
                "effect": "guarded",
                "repeatWindow": 2.5,
                "value": 8.0,
            }
            | row,
        ],
        "familyInfo": {"mode": "aside", "originKind": 1},
        "skus": [CACHE_TYPE, ORIGIN_TYPE],
        "membershipMode": mode,
        "weights": "silent",
        "siblings": 3,
        "resolution": 0.005,
        "loadReport": {"fields": ["svc_ms", "pending"], "how": "piggyback"},
        "limits": {
            "connIdle": 10.0,
            "dialTimeout": 0.12,
            "maxRetryAfter": 1.2,
            "mayCancel": True,
            "mostTries": 4,
            "probes": True,
            "retryAfter": False,
            "secondCopies": True,
        }
        | limits,
        "penalties": {"connection": 0.0, "handshake": 0.0},
        "rules": {
            "coldFrom": 0.32,
            "fallMultiple": 4.0,
            "overloadFor": 2.0,
            "rampTime": 8.9,
            "stopSendingWithin": 0.5,
        },
        "zone": "a",
    }


def free_port() -> int:
    """Return a port that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return int(probe.getsockname()[1])


class Router:
    """The router's process, started with the `run` command of the deploy file."""

    def __init__(self, folder: Path, fleet: Fleet, conf: dict[str, Any], seed: int) -> None:
        """Write the configuration into a temporary folder."""
        self.port = free_port()
        self.fleet = fleet
        self._folder = folder
        self._path = folder / "config.json"
        self._config = {
            "name": "n1",
            "listen": f"{HOST}:{self.port}",
            "discovery": fleet.discovery.address,
            "seed": f"{seed:016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": fleet.list_message(None),
            "settings": conf,
        }
        self._process: asyncio.subprocess.Process | None = None
        self._log: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the process, and wait until it answers a PING with PONG."""
        self._write_config()
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        variables = {
            "RELAY_NAME": "n1",
            "RELAY_LISTEN": self._config["listen"],
            "RELAY_DISCOVERY": self._config["discovery"],
            "RELAY_CONFIG": str(self._path),
            "TMPDIR": str(self._folder),
        }
        self._process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=os.environ | variables,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
        )
        self._log = asyncio.create_task(self._read_log())
        for _ in range(100):
            with suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode_array(["PING"]))
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.1)
        raise TimeoutError("the router is not ready after 10 s")

    def _write_config(self) -> None:
        new = self._path.with_suffix(".new")
        new.write_text(json.dumps(self._config))
        new.replace(self._path)

    async def _read_log(self) -> None:
        assert self._process is not None and self._process.stderr is not None  # noqa: PT018, S101
        while line := await self._process.stderr.readline():
            self.fleet.record.add(f"router log: {line.decode(errors='replace').rstrip()}")

    def change_discovery(self, address: str) -> None:
        """Replace the configuration by one with another address of discovery, and send SIGHUP."""
        self._config["discovery"] = address
        self._write_config()
        self.send(signal.SIGHUP)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self.fleet.record.add(f"{number.name} to the router")
            os.kill(self._process.pid, number)

    async def wait(self, seconds: float) -> int | None:
        """Wait for the end of the process; return its status, or None if it still runs."""
        if self._process is not None:
            with suppress(TimeoutError):
                status = await asyncio.wait_for(self._process.wait(), seconds)
                self.fleet.record.add(f"the router ended with status {status}")
                return status
        return None

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()
        if self._log is not None:
            await self._log


def is_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"
