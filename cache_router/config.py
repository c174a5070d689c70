"""One router's configuration: its JSON form, read and checked."""

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

CONFIG_VARIABLE = "RELAY_CONFIG"  # environment variable: the path of the configuration file
DEFAULT_DESCRIPTORS = 1024  # the platform's limit for one router
# with fewer a router cannot serve: `descriptor_budget.RESERVED_DESCRIPTORS` are half of them
MIN_DESCRIPTORS = 64


class ConfigError(RouterError, ValueError):
    """A configuration that cannot be used; message and `where` name the field or the environment variable."""


@dataclass(slots=True, frozen=True)
class Config:
    """What the platform configures for one router."""

    listen: tuple[str, int]  # host and port for clients
    discovery: str  # host:port of discovery, or of its agent on this machine
    seed: int  # of the random choices of the decisions
    max_descriptors: int  # file descriptors that the platform allows
    cached_index: int  # index of the cached endpoint list
    cached_endpoints: list[NetworkEndpoint]  # the endpoint list known at the start
    settings: Settings


def config_path(environment: Mapping[str, str]) -> str:
    """The path of the configuration file, from the environment of the process.

    Raises:
        ConfigError: the variable is not set, or empty.
    """
    path = environment.get(CONFIG_VARIABLE)
    if not path:
        state = "not set" if path is None else "empty"
        message = f"{CONFIG_VARIABLE} is {state}: it names the path of the configuration file"
        raise ConfigError(message, where=CONFIG_VARIABLE)
    return path


def load_config(path: str) -> Config:
    """Read and check the configuration in a file; errors found in the file begin with its path.

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
    """Read and check a configuration in its JSON form.

    Raises:
        ConfigError: `text` is not a JSON object, or a field in it cannot be used.
    """
    table = _read_object(text)
    seed = _read_seed(table)
    with _errors_of("settings"):
        settings = read_settings(table.get("settings"))
    with _errors_of("limits"):
        limits = SectionReader(table).section("limits")
        max_descriptors = int(limits.number("sockets", DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS))
    with _errors_of("known"):
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
def _errors_of(field: str) -> Iterator[None]:
    """Convert the errors of a field's reader to errors of the configuration."""
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
    """The seed, which the file has in hex digits."""
    seed = table.get("seed")
    try:
        return int(str(seed), 16)
    except ValueError:
        raise ConfigError(f"seed must be hex digits, not {seed!r}", where="seed") from None


def _read_address(table: Mapping[str, object], field: str) -> str:
    """A field of the form host:port, checked."""
    value = table.get(field)
    try:
        parse_address(value if isinstance(value, str) else "")
    except AddressError:
        raise ConfigError(f"{field} must be host:port, not {value!r}", where=field) from None
    return str(value)
