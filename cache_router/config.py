"""One router's configuration: how it is read and checked."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from cache_router.errors import RouterError
from cache_router.net.connection_pool import address_of, is_port
from cache_router.net.discovery import ListError, read_list
from cache_router.net.dispatcher import NetworkEndpoint
from cache_router.settings import Settings, SettingsError
from cache_router.settings_reader import number, read_settings, section

MIN_DESCRIPTORS = 64  # descriptors with which a router can serve


class ConfigError(RouterError, ValueError):
    """A configuration that cannot be used; message and `where` name the field."""


@dataclass(slots=True, frozen=True)
class Config:
    """What the platform tells a router."""

    listen: tuple[str, int]
    discovery: str
    seed: int
    max_descriptors: int
    cached_index: int
    cached_endpoints: list[NetworkEndpoint]
    settings: Settings


def read_address(table: dict[str, Any], field: str) -> str:
    """A field of the form host:port."""
    value = table.get(field)
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not is_port(port):
        raise ConfigError(f"{field} must be host:port, not {value!r}", where=field)
    return str(value)


@contextmanager
def _errors_of(field: str) -> Iterator[None]:
    """Raise errors of the readers of a field as errors of the configuration."""
    try:
        yield
    except (SettingsError, ListError) as error:
        raise ConfigError(str(error), where=field) from error


def read_config(text: bytes) -> Config:
    """Check a configuration."""
    try:
        table = orjson.loads(text)
    except orjson.JSONDecodeError as e:
        raise ConfigError(f"configuration is not JSON: {e}", where="configuration") from e
    if not isinstance(table, dict):
        raise ConfigError("configuration is not an object", where="configuration")
    seed = table.get("seed")
    try:
        seed_number = int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {seed!r}", where="seed") from None
    with _errors_of("settings"):
        settings = read_settings(table.get("settings"))
    with _errors_of("limits"):
        sockets = int(number(section(table, "limits"), "sockets", 1024, "limits.", MIN_DESCRIPTORS))
    with _errors_of("known"):
        index, _, known = read_list(table.get("known"), "known")
    listen = address_of(read_address(table, "listen"))
    return Config(listen, read_address(table, "discovery"), seed_number, sockets, index, known, settings)


def read_file(path: str) -> bytes:
    """The configuration's text."""
    try:
        return Path(path).read_bytes()
    except OSError as e:
        raise ConfigError(f"RELAY_CONFIG: {e}", where="RELAY_CONFIG") from e
