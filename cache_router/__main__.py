"""One real router: its configuration, its log, its signals."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from cache_router.decisions.events import EndpointUpdateKind
from cache_router.net.cache_connection import CacheConnection
from cache_router.net.client_connection import Listener
from cache_router.net.connection_pool import ConnectionPool, address_of, is_port
from cache_router.net.discovery import Discovery
from cache_router.net.dispatcher import Dispatcher
from cache_router.net.endpoint_list_reader import EndpointListError, read_endpoint_list
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.net.origin_connection import OriginConnection
from cache_router.settings import Settings, SettingsError
from cache_router.settings_reader import number, read_settings, section

STILL_COMING = 0.5  # seconds after SIGTERM in which new connections come: 0.2 to 0.4, and a little more
LONGEST_WAIT = 3.0  # SIGKILL comes no earlier than the longest deadline, or this where it is longer,
KILL_AFTER = 0.7  # and these seconds after SIGTERM
ANSWER_EARLY = 0.2  # before that all is answered, as the core may be busy
CLOSE_EARLY = 0.1  # and before that the last connections are closed
FIRST_LIST = (
    1.0  # seconds to hear of it before serving from the one known: an agent answers within ms or is down
)
FEWEST = 64  # descriptors with which a router can serve
RESERVE = 32  # descriptors for the loop, the log, the listener and discovery


class ConfigError(ValueError):
    """A configuration that can't be used; the message names the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """What the platform tells a router."""

    listen: tuple[str, int]
    discovery: str
    seed: int
    sockets: int
    known_index: int
    known: list[NetworkEndpoint]
    settings: Settings


def read_address(table: dict[str, Any], field: str) -> str:
    """A field of the form host:port."""
    value = table.get(field)
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not is_port(port):
        raise ConfigError(f"{field} must be host:port, not {value!r}")
    return str(value)


def read_config(text: bytes) -> Config:
    """Check a configuration."""
    try:
        table = orjson.loads(text)
    except orjson.JSONDecodeError as e:
        raise ConfigError(f"configuration is not JSON: {e}") from e
    if not isinstance(table, dict):
        raise ConfigError("configuration is not an object")
    seed = table.get("seed")
    try:
        seed_number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {seed!r}") from None
    try:
        settings = read_settings(table.get("settings"))
        sockets = int(number(section(table, "limits"), "sockets", 1024, "limits.", FEWEST))
        known = read_endpoint_list(table.get("known"), "known")
    except (SettingsError, EndpointListError) as e:
        raise ConfigError(str(e)) from e
    listen = address_of(read_address(table, "listen"))
    return Config(
        listen, read_address(table, "discovery"), seed_number, sockets, known.index, known.endpoints, settings
    )


def read_file(path: str) -> bytes:
    """The configuration's text."""
    try:
        return Path(path).read_bytes()
    except OSError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}") from e


def descriptors(allowed: int) -> int:
    """How many this process can open of those that a configuration allows.

    Guards discovery: with budgets beyond the process's own limit, idle clients would take what its
    connection needs, and none of them would be ended for it.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY or limit >= allowed:
        return allowed
    if limit < FEWEST:
        raise ConfigError(f"limits.sockets: this process may open {limit}, and needs {FEWEST}")
    logging.warning("limits.sockets is %d, but this process may open %d", allowed, limit)
    return limit


async def serve(config: Config, path: str) -> None:
    """Serve until SIGTERM, and then what was taken."""
    settings = config.settings
    room = descriptors(config.sockets) - RESERVE
    times = settings.connect_timeout, settings.connection_idle_timeout
    servers = ConnectionPool(CacheConnection, room * 3 // 8, *times)
    origin = ConnectionPool(OriginConnection, room // 8, *times)

    def subscribe() -> None:
        discovery.subscribe()

    host = Dispatcher(settings, config.seed, servers, origin, subscribe)
    pushed = not settings.must_subscribe
    discovery = Discovery(
        config.discovery,
        config.known_index,
        host.on_endpoint_update,
        host.on_watch_failed,
        pushed,
        budget=settings.watch_budget,
    )
    listener = Listener(host, room // 2)
    try:
        listener.bind(config.listen)
    except (OSError, ValueError) as e:  # also a host that cannot be spelled
        raise ConfigError(f"listen: {e}") from e
    host.on_endpoint_update(EndpointUpdateKind.CACHED, config.known)
    if pushed:
        discovery.subscribe()  # the module does not ask for what is pushed; it comes by the same calls

    def reload() -> None:
        """Take a new address of discovery; nothing else of a configuration changes while a router runs."""
        try:
            address = read_config(read_file(path)).discovery
        except ConfigError as e:
            # guards the running router: a file half written or wrong must not cost what it serves
            logging.error("configuration not taken, the old one stays: %s", e)
            return
        if address == discovery.address:
            return
        logging.info("discovery is now %s", address)
        discovery.change_address(address)
        host.on_discovery_address_changed()
        if pushed:
            discovery.subscribe()

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    terminated = asyncio.Event()
    for each in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(each, terminated.set)
    if pushed:
        # guards the rule on drains: what the agent holds counts as told from the first moment, and the list
        # known before may name servers that have left since
        with suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST):
                await discovery.first_update_received.wait()
    listener.start()
    logging.info("listening on %s:%d", *listener.socket.getsockname())
    await terminated.wait()
    longest = max(c.client_timeout for c in settings.classes.values())
    killed = min(longest, LONGEST_WAIT) + KILL_AFTER
    logging.info("ending: no new connections in %g s, all answered in %g s", STILL_COMING, killed)
    host.start_shutdown(killed - ANSWER_EARLY)
    await listener.stop(STILL_COMING, killed - CLOSE_EARLY - STILL_COMING)
    discovery.close()
    servers.close()
    origin.close()


def main() -> int:
    """Run one router."""
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    path = os.environ.get("RELAY_CONFIG", "")
    try:
        asyncio.run(serve(read_config(read_file(path)), path))
    except ConfigError as e:
        print(f"cache_router: {e}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
