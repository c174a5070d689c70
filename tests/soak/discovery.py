"""A stand-in for discovery at two addresses, which share one registry."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass, field
from typing import Any

import orjson

from tests.soak.network import Listener
from tests.soak.observations import Observations, Poll
from tests.soak.plan import DiscoveryMode

SLOW_RESPONSE_DELAY = 0.6  # seconds
SECOND_POLL_TOLERANCE = 0.1  # seconds by which the end of a poll may arrive after the start of the next one


@dataclass(slots=True, frozen=True)
class PollResponse:
    """The response to a poll."""

    data: bytes
    versions: dict[str, int] = field(default_factory=dict)  # version of each listed entry, by name

    @property
    def is_list(self) -> bool:
        """Whether the response is a list or a change of it that the router can use."""
        return self.data.startswith(b"HTTP/1.1 200") and b'"wrong"' not in self.data


def encode_http(body: bytes) -> bytes:
    """Return a successful HTTP response."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@dataclass(slots=True)
class Registry:
    """The endpoint list, with the version in which each entry last changed."""

    version: int = 1
    entries: dict[str, dict[str, Any]] = field(default_factory=dict)
    changed_in_version: dict[str, int] = field(default_factory=dict)
    sent_versions: dict[str, list[tuple[float, int]]] = field(default_factory=dict)  # (time, version) by name
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, entry: dict[str, Any]) -> None:
        """Add or change an entry."""
        self.version += 1
        self.entries[entry["name"]] = entry
        self.changed_in_version[entry["name"]] = self.version
        self.changed.set()
        self.changed = asyncio.Event()

    def update(self, after: int | None) -> PollResponse:
        """Return the response with an update, and the versions of the entries in it.

        The update is the complete list if `after` is None, otherwise the changes since that version.
        """
        listed = [
            e for name, e in self.entries.items() if after is None or self.changed_in_version[name] > after
        ]
        body = orjson.dumps({"index": self.version, "snapshot": after is None, "endpoints": listed})
        names = [entry["name"] for entry in listed]
        return PollResponse(encode_http(body), {name: self.changed_in_version[name] for name in names})

    def record_sent(self, versions: dict[str, int], now: float) -> None:
        """Record that entries were written to the router, with the versions in which they last changed."""
        for name, version in versions.items():
            self.sent_versions.setdefault(name, []).append((now, version))


class Discovery:
    """A stand-in for discovery that answers polls at each of its addresses."""

    def __init__(self, addresses: list[tuple[str, int]], observations: Observations) -> None:
        """Create discovery with an empty registry and closed listeners."""
        self.registry = Registry()
        self.mode = DiscoveryMode.SERVING
        self.mode_history: list[tuple[float, DiscoveryMode]] = [(0.0, self.mode)]  # (start, mode)
        self.listeners = [Listener(address, self._handler(f"{address[0]}")) for address in addresses]
        self._observations = observations
        self._open_polls: list[Poll] = []

    async def set_mode(self, mode: DiscoveryMode) -> None:
        """Switch to another mode."""
        self.mode = mode
        self.mode_history.append((asyncio.get_running_loop().time(), mode))
        for listener in self.listeners:
            if mode is DiscoveryMode.REFUSING:
                listener.close()
            else:
                await listener.open()

    def _handler(self, address: str) -> Any:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(address, reader, writer)

        return serve

    async def _serve(self, address: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        loop = asyncio.get_running_loop()
        poll = Poll(loop.time(), self._observations.lag, address)
        self._observations.polls.append(poll)
        self._open_polls.append(poll)
        loop.call_later(SECOND_POLL_TOLERANCE + 2 * self._observations.lag, self._check_single_poll, poll)
        disconnected = asyncio.ensure_future(reader.read())
        response = asyncio.ensure_future(self._respond(head))
        try:
            await asyncio.wait([disconnected, response], return_when=asyncio.FIRST_COMPLETED)
            if response.done():
                poll.failed = not response.result().is_list
                self._write(response.result(), writer)
                await writer.drain()
            else:
                poll.failed = True
        finally:
            poll.failed |= not response.done()
            poll.ended_at = loop.time()
            self._open_polls.remove(poll)
            disconnected.cancel()
            response.cancel()

    def _write(self, response: PollResponse, writer: asyncio.StreamWriter) -> None:
        """Write a response; on a connection that is closed just then, it does not reach the router."""
        writer.write(response.data)
        if not writer.transport.is_closing():
            self.registry.record_sent(response.versions, asyncio.get_running_loop().time())

    def _check_single_poll(self, poll: Poll) -> None:
        others = [
            other for other in self._open_polls if other is not poll and other.started_at < poll.started_at
        ]
        if poll in self._open_polls and others:
            self._observations.violations.append(f"watch: {len(others) + 1} polls are open at the same time")

    async def _respond(self, head: str) -> PollResponse:
        mode = self.mode
        if mode is DiscoveryMode.SILENT:
            await asyncio.Event().wait()
        if mode is DiscoveryMode.UNAVAILABLE:
            return PollResponse(b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n")
        if mode is DiscoveryMode.SLOW:
            await asyncio.sleep(SLOW_RESPONSE_DELAY)
        if mode is DiscoveryMode.WRONG_INDEX:
            return PollResponse(encode_http(b'{"index":"wrong","snapshot":true,"endpoints":[]}'))
        query = re.search(r"after=(\d+)&wait_ms=(\d+)", head)
        after = int(query[1]) if query else None
        if query and after is not None and after >= self.registry.version:
            try:
                async with asyncio.timeout(int(query[2]) / 1000):
                    await self.registry.changed.wait()
            except TimeoutError:
                pass
            if self.mode is DiscoveryMode.SILENT:
                await asyncio.Event().wait()
        return self.registry.update(after)
