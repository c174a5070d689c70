"""The watch on the list of cache servers and its changes."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

import orjson

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.connection_pool import address_of
from cache_router.net.endpoint_list_reader import EndpointListError, read_endpoint_list
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.http import HttpClient, HttpError
from cache_router.settings import WatchBudget

MAX_LIST_SIZE = 4 * 1024 * 1024
# after an answer with no news, so that an agent that never waits is not asked in a spin; a call more than
# 200 ms after the last answer would be a new watch, in turn with all others
EMPTY_UPDATE_PAUSE = 0.05
log = logging.getLogger(__name__)


class Discovery:
    """Watches the list when asked to; a call that fails ends the watch."""

    def __init__(
        self,
        address: str,
        index: int | None,
        on_update: Callable[[EndpointUpdateKind, list[NetworkEndpoint]], None],
        on_failure: Callable[[], None],
        pushed: bool = False,
        *,
        budget: WatchBudget | None = None,
    ) -> None:
        self.address = address
        self.index = index  # of the list held; None: from another discovery, or none
        self.on_update = on_update
        self.on_failure = on_failure
        self.watch_task: asyncio.Task[None] | None = None
        self.budget = budget or WatchBudget()
        self.first_update_received = asyncio.Event()  # that a list has been told
        # an agent answers at once; a discovery asked by all might keep a second call waiting in turn
        self.pushed = self.poll_at_once = pushed

    def subscribe(self) -> None:
        """Begin a watch, unless one is on."""
        if self.watch_task is None:
            self.watch_task = asyncio.create_task(self._watch())

    def change_address(self, address: str) -> None:
        """End the watch; the next one asks another discovery, with its own index, for the complete list."""
        self.close()
        self.address = address
        self.index = None
        self.watch_task = None

    async def _watch(self) -> None:
        try:
            while True:
                started_at = time.monotonic()
                self.index, is_snapshot, endpoints = await self._poll()
                self.poll_at_once = False
                kind = EndpointUpdateKind.SNAPSHOT if is_snapshot else EndpointUpdateKind.DELTA
                self.on_update(kind, endpoints)
                self.first_update_received.set()
                if not endpoints:
                    await asyncio.sleep(EMPTY_UPDATE_PAUSE)
        except Exception as e:
            # guards the list: whatever went wrong, the module must hear of it, or it would never ask again
            known = isinstance(e, (OSError, HttpError, EndpointListError, orjson.JSONDecodeError))
            level, waited = logging.WARNING if known else logging.ERROR, time.monotonic() - started_at
            log.log(level, "discovery, after %.3f s: %s", waited, repr(e)[:200])
        # a watch that was cancelled ends above and tells nothing: another may have begun
        self.watch_task = None
        self.on_failure()

    def next_poll(self) -> tuple[str, float]:
        """What the next call asks for, and the seconds after which it is given up.

        Guards against a discovery that has gone silent: what it has to tell counts as told soon after.
        """
        target = "/registry/instances"
        if self.index is None:
            return target, self.budget.response_timeout
        if self.pushed and self.poll_at_once:
            return f"{target}?after={self.index}&wait_ms=0", self.budget.response_timeout
        return (
            f"{target}?after={self.index}&wait_ms={int(self.budget.long_poll_wait * 1000)}",
            self.budget.call_timeout,
        )

    async def _poll(self) -> tuple[int, bool, list[NetworkEndpoint]]:
        target, limit = self.next_poll()
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address_of(self.address))
            try:
                client = HttpClient(self.address, MAX_LIST_SIZE)
                writer.write(client.request("GET", target, [(b"Connection", b"close")]))
                response = None
                while response is None:
                    response = client.receive(await reader.read(65536))
            finally:
                writer.close()
        if response.status != 200:
            raise EndpointListError(f"answered {response.status}")
        return read_endpoint_list(orjson.loads(response.body))

    def close(self) -> None:
        if self.watch_task is not None:
            self.watch_task.cancel()
