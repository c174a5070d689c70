"""The watch on discovery's endpoint list, by long polls."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.address import parse_address
from cache_router.net.endpoint_list_reader import EndpointListError, EndpointListMessage, read_endpoint_list
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.http import HttpClient, HttpError
from cache_router.settings import WatchBudget

LIST_PATH = "/registry/instances"
MAX_LIST_SIZE = 4 * 1024 * 1024  # bytes
READ_SIZE = 64 * 1024  # bytes
HTTP_OK = 200
# Seconds after an update without entries, so that an agent that never waits is not polled in a busy loop. A
# poll more than 200 ms after the last answer would be a new watch, in turn with all others.
EMPTY_UPDATE_PAUSE = 0.05
# what an unreachable or faulty discovery causes; anything else is a fault of this program
EXPECTED_ERRORS = (OSError, HttpError, EndpointListError, orjson.JSONDecodeError)
log = logging.getLogger(__name__)


@dataclass(slots=True, frozen=True)
class Poll:
    """One request to discovery."""

    target: str  # path and query
    timeout: float  # seconds until it is given up


class Discovery:
    """Watches the endpoint list once subscribed; a poll that fails ends the watch."""

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
        """Prepare a watch.

        `address` is discovery's `host:port`; `index` is the version of the list that is held already.
        `on_update` takes what each poll brings; `on_failure` is called when a watch has ended. `pushed` is
        whether an agent on this machine, which answers at once, stands for discovery.
        """
        self.address = address
        self.index = index  # None: no list is held, or one of another discovery
        self.on_update = on_update
        self.on_failure = on_failure
        self.pushed = pushed
        self.budget = budget or WatchBudget()
        self.first_update_received = asyncio.Event()
        self.watch_task: asyncio.Task[None] | None = None
        # Whether the next poll of an agent asks not to wait. A discovery that all routers poll might keep a
        # second poll waiting for its turn.
        self._poll_at_once = pushed

    def subscribe(self) -> None:
        """Start a watch, unless one is running."""
        if self.watch_task is None:
            self.watch_task = asyncio.create_task(self._watch())

    def change_address(self, address: str) -> None:
        """End the watch; the next one asks another discovery, with its own index, for the complete list."""
        self.close()
        self.address = address
        self.index = None
        self.watch_task = None

    def close(self) -> None:
        """Cancel the watch, which then calls back no more."""
        if self.watch_task is not None:
            self.watch_task.cancel()

    def next_poll(self) -> Poll:
        """What to ask next, and for how long to wait.

        Every poll has a timeout, because a change counts as notified `budget.notification_deadline` seconds
        after discovery has it, also when discovery has gone silent in between.
        """
        if self.index is None:
            return Poll(LIST_PATH, self.budget.response_timeout)
        if self.pushed and self._poll_at_once:
            return Poll(f"{LIST_PATH}?after={self.index}&wait_ms=0", self.budget.response_timeout)
        wait_ms = int(self.budget.long_poll_wait * 1000)
        return Poll(f"{LIST_PATH}?after={self.index}&wait_ms={wait_ms}", self.budget.call_timeout)

    async def _watch(self) -> None:
        """Poll until a poll fails.

        Whatever went wrong is notified: the decision module would never subscribe again otherwise. A watch
        that is cancelled ends without a word, because another one may be running by then.
        """
        try:
            while True:
                started_at = time.monotonic()
                message = await self._poll()
                self.index = message.index
                self._poll_at_once = False
                self.on_update(message.update_kind, message.endpoints)
                self.first_update_received.set()
                if not message.endpoints:
                    await asyncio.sleep(EMPTY_UPDATE_PAUSE)
        except Exception as error:
            level = logging.WARNING if isinstance(error, EXPECTED_ERRORS) else logging.ERROR
            waited = time.monotonic() - started_at
            log.log(level, "discovery %s: watch ended after %.3f s: %.200r", self.address, waited, error)
        self.watch_task = None
        self.on_failure()

    async def _poll(self) -> EndpointListMessage:
        poll = self.next_poll()
        async with asyncio.timeout(poll.timeout):
            reader, writer = await asyncio.open_connection(*parse_address(self.address))
            try:
                client = HttpClient(self.address, MAX_LIST_SIZE)
                writer.write(client.request("GET", poll.target, [(b"Connection", b"close")]))
                response = None
                while response is None:
                    response = client.receive(await reader.read(READ_SIZE))
            finally:
                writer.close()
        if response.status != HTTP_OK:
            raise EndpointListError(f"answered {response.status}")
        return read_endpoint_list(orjson.loads(response.body))
