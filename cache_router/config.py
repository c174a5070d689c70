"""Reads and validates the JSON configuration of one router."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import orjson

from cache_router.errors import RouterError
from cache_router.net.address import AddressError, parse_address
from cache_router.net.endpoint_list_reader import EndpointListError, read_endpoint_list
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.section_reader import SectionReader
from cache_router.settings import Settings, SettingsError
from cache_router.settings_reader import read_settings

CONFIG_VARIABLE = "RELAY_CONFIG"  # environment variable that holds the path of the configuration file
DEFAULT_DESCRIPTORS = 1024  # file descriptors that the platform allows one router
# A router with fewer cannot serve: half of this minimum is `descriptor_budget.RESERVED_DESCRIPTORS`.
MIN_DESCRIPTORS = 64


class ConfigError(RouterError, ValueError):
    """Unusable configuration; message and `where` name the field or environment variable at fault."""


@dataclass(slots=True, frozen=True)
class Config:
    """Configuration of one router, as the platform provides it."""

    listen: tuple[str, int]  # host and port to listen on for clients
    discovery: str  # host:port of discovery, or of its agent on this machine
    seed: int  # seed of the random choices in the decisions
    max_descriptors: int  # file descriptors that the platform allows this router
    cached_index: int  # version of the cached endpoint list
    cached_endpoints: list[NetworkEndpoint]  # entries of the endpoint list that was cached before the start
    settings: Settings


def config_path(environment: Mapping[str, str]) -> str:
    """Return the path of the configuration file from the environment of the process.

    Raises:
        ConfigError: the environment variable is not set, or empty.
    """
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        state = "not set" if path is None else "empty"
        message = f"{CONFIG_VARIABLE} is {state}: it names the path of the configuration file"
        raise ConfigError(message, where=CONFIG_VARIABLE)
    return path


def load_config(path: str) -> Config:
    """Read and validate the configuration file at `path`; errors in its content begin with the path.

    Raises:
        ConfigError: the file cannot be read, or a field in it cannot be used.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"{CONFIG_VARIABLE}: {error}", where=CONFIG_VARIABLE) from error
    try:
        return read_config(text)
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}", where=error.where) from error


def read_config(text: bytes) -> Config:
    """Parse and validate a configuration in JSON form.

    Raises:
        ConfigError: `text` is not a JSON object, or a field in it cannot be used.
    """
    table = _read_object(text)
    seed = _read_seed(table)
    with _as_config_errors("settings"):
        settings = read_settings(table.get("settings"))
    with _as_config_errors("limits"):
        limits = SectionReader(table).section("limits")
        max_descriptors = int(limits.number("sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS))
    with _as_config_errors("known"):
        known = read_endpoint_list(table.get("known"), "known")
    return Config(
        listen=parse_address(_read_address(table, "listen")),
        discovery=_read_address(table, "discovery"),
        seed=seed,
        max_descriptors=max_descriptors,
        cached_index=known.index,
        cached_endpoints=known.endpoints,
        settings=settings,
    )


@contextmanager
def _as_config_errors(field: str) -> Iterator[None]:
    """Convert the errors that the readers of a field raise into `ConfigError`s with that field as `where`."""
    try:
        yield
    except (SettingsError, EndpointListError) as error:
        raise ConfigError(str(error), where=field) from error


def _read_object(text: bytes) -> Mapping[str, object]:
    try:
        table = orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"configuration is not JSON: {error}", where="configuration") from error
    if not isinstance(table, dict):
        raise ConfigError("configuration is not an object", where="configuration")
    return table


def _read_seed(table: Mapping[str, object]) -> int:
    """Return the seed, which the configuration holds in hex digits."""
    seed = table.get("seed")
    try:
        return int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {seed!r}", where="seed") from None


def _read_address(table: Mapping[str, object], field: str) -> str:
    """Return a field of the form host:port after validating it."""
    value = table.get(field)
    try:
        parse_address(value if isinstance(value, str) else "")
    except AddressError:
        raise ConfigError(f"{field} must be host:port, not {value!r}", where=field) from None
    return str(value)
