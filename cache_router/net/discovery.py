"""Watches the endpoint list of discovery by long polling."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable
from dataclasses import dataclass

import orjson

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.decisions.log_sampling import is_logged
from cache_router.net.address import parse_address
from cache_router.net.endpoint_list_reader import EndpointListError, EndpointListMessage, read_endpoint_list
from cache_router.net.endpoint_table import EndpointUpdateError, NetworkEndpoint
from cache_router.net.http import HttpClient, HttpError, Response
from cache_router.settings import WatchBudget

LIST_PATH = "/registry/instances"
MAX_LIST_SIZE = 4 * 1024 * 1024  # bytes
READ_CHUNK_SIZE = 64 * 1024  # bytes
HTTP_OK = 200
# Seconds to wait after an update without entries, so that an agent that responds immediately is not polled
# in a busy loop. The pause must stay below 200 ms: after a longer one, discovery treats a poll as a new watch
# and queues it with those of all other routers.
EMPTY_UPDATE_PAUSE = 0.05
# Exceptions that an unreachable or faulty discovery causes. Any other exception is a fault of this program.
EXPECTED_ERRORS = (OSError, HttpError, EndpointListError, orjson.JSONDecodeError)
# Exceptions that are logged without a traceback. An update that can't be applied is logged where it fails.
LOGGED_WITHOUT_TRACEBACK = (*EXPECTED_ERRORS, EndpointUpdateError)
log = logging.getLogger(__name__)

UpdateCallback = Callable[[EndpointUpdateKind, list[NetworkEndpoint]], None]


@dataclass(slots=True, frozen=True)
class Poll:
    """One request for the endpoint list."""

    target: str  # path and query of the request
    timeout: float  # seconds until the response must be complete


class Discovery:
    """Watches the endpoint list once subscribed; a poll that fails ends the watch.

    Attributes:
        address: `host:port` of discovery.
        index: Version of the list that the router has; None if it has no list from this address.
    """

    def __init__(
        self,
        address: str,
        index: int | None,
        on_update: UpdateCallback,
        on_failure: Callable[[str], None],
        pushed: bool = False,
        *,
        budget: WatchBudget | None = None,
    ) -> None:
        """Prepare a watch.

        Args:
            address: `host:port` of discovery.
            index: Version of the list that the router has, if any.
            on_update: Called with the kind and the entries of each update.
            on_failure: Called with the address when a watch has failed.
            pushed: Whether the router polls an agent on its own machine instead of discovery.
            budget: Time limits of polls; the defaults of `WatchBudget` if None.
        """
        self.address = address
        self.index = index
        self._on_update = on_update
        self._on_failure = on_failure
        self._pushed = pushed
        self._budget = budget or WatchBudget()
        self._first_update_received = asyncio.Event()
        self._watch_task: asyncio.Task[None] | None = None
        self._failures = 0  # number of consecutive failures at this address
        # Whether the next poll asks for an immediate response. Only an agent is asked: discovery, which all
        # routers poll, might queue a second poll.
        self._poll_without_wait = pushed

    @property
    def is_watching(self) -> bool:
        """Whether a watch is running."""
        return self._watch_task is not None

    def subscribe(self) -> None:
        """Start a watch, unless one is running."""
        if self._watch_task is None:
            self._watch_task = asyncio.create_task(self._watch())

    def change_address(self, address: str) -> None:
        """End the watch; the next one requests the complete list, as each discovery has its own indexes."""
        self.close()
        self.address = address
        self.index = None
        self._watch_task = None
        self._failures = 0

    def close(self) -> None:
        """Cancel the watch; it makes no further calls to `on_update` or `on_failure`."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def wait_for_first_update(self) -> None:
        """Return once the first update has been passed to `on_update`."""
        await self._first_update_received.wait()

    def next_poll(self) -> Poll:
        """Return the next request and its timeout.

        Every poll has a timeout. The router counts as notified of a change `budget.notification_deadline`
        seconds after discovery has the change, even if discovery has stopped responding in between.
        """
        if self.index is None:
            return Poll(LIST_PATH, self._budget.response_timeout)
        if self._pushed and self._poll_without_wait:
            return Poll(f"{LIST_PATH}?after={self.index}&wait_ms=0", self._budget.response_timeout)
        wait_ms = int(self._budget.long_poll_wait * 1000)
        return Poll(f"{LIST_PATH}?after={self.index}&wait_ms={wait_ms}", self._budget.poll_timeout)

    async def _watch(self) -> None:
        """Poll until a poll fails.

        `on_failure` is called after any exception: without that call, the decisions would never subscribe
        again. A cancelled watch ends without the call, because another one may already be running.
        """
        try:
            while True:
                started_at = time.monotonic()
                message = await self._poll()
                self._apply(message)
                if not message.endpoints:
                    await asyncio.sleep(EMPTY_UPDATE_PAUSE)
        except Exception as error:
            self._log_failure(error, time.monotonic() - started_at)
        self._watch_task = None
        self._on_failure(self.address)

    def _apply(self, message: EndpointListMessage) -> None:
        """Apply an update and record its index; if that fails, the next poll requests the complete list."""
        self.index = None
        self._poll_without_wait = False
        self._on_update(message.update_kind, message.endpoints)
        self.index = message.index
        if self._failures:
            log.info("discovery %s: list received after %d failures", self.address, self._failures)
            self._failures = 0
        self._first_update_received.set()

    def _log_failure(self, error: Exception, elapsed: float) -> None:
        """Log why a watch failed, `elapsed` seconds after the start of its last poll."""
        self._failures += 1
        is_expected = isinstance(error, LOGGED_WITHOUT_TRACEBACK)
        if is_expected and not is_logged(self._failures):
            return
        log.log(
            logging.WARNING if is_expected else logging.ERROR,
            "discovery %s: watch failed %.3f s after the start of its last poll: %.200r",
            self.address,
            elapsed,
            error,
            exc_info=None if is_expected else error,
        )

    async def _poll(self) -> EndpointListMessage:
        """Send the next request and read the response.

        Raises:
            OSError: Discovery can't be reached, or does not respond in time (TimeoutError).
            HttpError, EndpointListError, orjson.JSONDecodeError: The response is malformed or not successful.
        """
        poll = self.next_poll()
        async with asyncio.timeout(poll.timeout):
            response = await self._request(poll.target)
        if response.status != HTTP_OK:
            raise EndpointListError(f"unexpected HTTP status {response.status}")
        return read_endpoint_list(orjson.loads(response.body))

    async def _request(self, target: str) -> Response:
        """Send a GET request on a new connection, and return the complete response."""
        reader, writer = await asyncio.open_connection(*parse_address(self.address))
        try:
            client = HttpClient(self.address, MAX_LIST_SIZE)
            writer.write(client.request("GET", target, [(b"Connection", b"close")]))
            response = None
            while response is None:
                response = client.receive(await reader.read(READ_CHUNK_SIZE))
            return response
        finally:
            writer.close()
