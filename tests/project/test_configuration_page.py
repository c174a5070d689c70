"""The configuration page and its example, compared with the code that reads the configuration."""

from __future__ import annotations

import copy
import os
import re
from collections.abc import Iterator
from dataclasses import dataclass, fields
from pathlib import Path
from typing import Any, NoReturn

import orjson
import pytest

from cache_router import program
from cache_router.config import Config, ConfigError, read_config
from cache_router.endpoint import Endpoint
from cache_router.net.endpoint_list_reader import EndpointListMessage
from cache_router.net.endpoint_table import NetworkEndpoint
from cache_router.settings import RequestClass, Settings
from tests.support.loopback import Clients, Peer
from tests.support.router_process import PROCESS_TEST_TIMEOUT, listen_address, router_process

ROOT = Path(__file__).parents[2]
PAGE = (ROOT / "docs" / "CONFIGURATION.md").read_text()
EXAMPLE_PATH = "docs/examples/config.json"
EXAMPLE = (ROOT / EXAMPLE_PATH).read_bytes()
ENVIRONMENT_KEYS = {"RELAY_CONFIG"}
REQUIRED = "required"
# The default of each is the value of the other, which the page can only describe in words
MUTUAL_DEFAULTS = {"settings.classes[].aim", "settings.classes[].giveUp"}
RECORD_TYPES = {
    record.__name__: record
    for record in (Config, EndpointListMessage, NetworkEndpoint, Endpoint, Settings, RequestClass)
}


@dataclass(frozen=True)
class Row:
    """One row of the tables on the page."""

    key: str
    term: str
    unit: str
    default: str
    range: str
    meaning: str


def page_rows() -> list[Row]:
    """Return the rows whose first cell is a key."""
    lines = [line for line in PAGE.splitlines() if line.startswith("| `")]
    rows = [Row(*(cell.strip() for cell in line.strip("|").split("|"))) for line in lines]
    return [Row(**{**vars(row), "key": row.key.strip("`")}) for row in rows]


ROWS = page_rows()
FILE_ROWS = [row for row in ROWS if row.key not in ENVIRONMENT_KEYS]


class RecordingDict(dict[str, Any]):
    """A JSON object that records the path of each key that is read.

    Reading all keys at once raises AssertionError, as it would not show which of them have an effect.
    """

    def __init__(self, values: dict[str, Any], path: str, keys_read: set[str]) -> None:
        """Record the paths in `keys_read`; `path` is the path of the object itself, with a final dot."""
        super().__init__(values)
        self._path = path
        self._keys_read = keys_read

    def get(self, key: str, default: Any = None) -> Any:
        """Record the key, and return its value."""
        self._keys_read.add(self._path + key)
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self._keys_read.add(self._path + key)
        return super().__getitem__(key)

    def __contains__(self, key: object) -> bool:
        self._keys_read.add(f"{self._path}{key}")
        return super().__contains__(key)

    def __iter__(self) -> Iterator[str]:
        self._fail()

    def _fail(self) -> NoReturn:
        raise AssertionError(f"{self._path or 'the top level'} is read as a whole")

    keys = values = items = pop = setdefault = copy = _fail  # type: ignore[assignment]


def recording(value: Any, path: str, keys_read: set[str]) -> Any:
    """Return a decoded JSON value whose objects record the keys that are read."""
    if isinstance(value, list):
        return [recording(item, f"{path}[]", keys_read) for item in value]
    if isinstance(value, dict):
        prefix = f"{path}." if path else ""
        members = {key: recording(item, prefix + key, keys_read) for key, item in value.items()}
        return RecordingDict(members, prefix, keys_read)
    return value


def key_paths(value: Any, path: str = "") -> set[str]:
    """Return the paths of all keys in a decoded JSON value."""
    if isinstance(value, list):
        return {found for item in value for found in key_paths(item, f"{path}[]")}
    if isinstance(value, dict):
        prefix = f"{path}." if path else ""
        nested = {found for key, item in value.items() for found in key_paths(item, prefix + key)}
        return nested | {prefix + key for key in value}
    return set()


def objects_with(config: dict[str, Any], key: str) -> tuple[list[dict[str, Any]], str]:
    """Return the objects of a configuration that contain a key, and the last part of the key."""
    *path, last = key.split(".")
    found: list[Any] = [config]
    for part in path:
        values = [each[part.removesuffix("[]")] for each in found]
        found = [item for value in values for item in value] if part.endswith("[]") else values
    return found, last


def example_with(key: str, value: Any) -> bytes:
    """Return the example with another value for each occurrence of a key."""
    config = orjson.loads(EXAMPLE)
    objects, last = objects_with(config, key)
    for each in objects:
        each[last] = copy.deepcopy(value)
    return orjson.dumps(config)


def example_without(*keys: str) -> bytes:
    """Return the example without any occurrence of some keys."""
    config = orjson.loads(EXAMPLE)
    for key in keys:
        objects, last = objects_with(config, key)
        for each in objects:
            del each[last]
    return orjson.dumps(config)


def test_page_names_each_key_once() -> None:
    keys = [row.key for row in ROWS]
    assert len(keys) == len(set(keys))
    assert all(row.meaning for row in ROWS)


def test_page_and_readers_have_the_same_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Every key that is read is documented, and every documented key is read."""
    keys_read: set[str] = set()
    decoded = recording(orjson.loads(EXAMPLE), "", keys_read)
    monkeypatch.setattr(orjson, "loads", lambda text: decoded)
    read_config(EXAMPLE)
    assert keys_read == {row.key for row in FILE_ROWS}


def test_page_and_program_have_the_same_environment_variables(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without the variable, the program exits; its sources read the environment in only one place."""
    keys_read: set[str] = set()
    with monkeypatch.context() as patch:
        patch.setattr(os, "environ", RecordingDict({}, "", keys_read))
        status = program.main()
    assert status == program.CONFIG_ERROR_STATUS
    assert keys_read == ENVIRONMENT_KEYS <= {row.key for row in ROWS}
    sources = [path.read_text() for path in (ROOT / "cache_router").rglob("*.py")]
    assert sum(len(re.findall(r"\benviron\b|\bgetenv\b", text)) for text in sources) == 1


def test_example_has_every_key_of_the_page_and_no_other() -> None:
    assert key_paths(orjson.loads(EXAMPLE)) == {row.key for row in FILE_ROWS}


@pytest.mark.parametrize("row", FILE_ROWS, ids=lambda row: row.key)
def test_documented_default_is_that_of_the_reader(row: Row) -> None:
    """Omitting a required key is an error; omitting another one has the same effect as its default."""
    if row.default == REQUIRED:
        with pytest.raises(ConfigError):
            read_config(example_without(row.key))
    elif row.key in MUTUAL_DEFAULTS:
        assert row.default.startswith("the value of ")
    else:
        default = orjson.loads(row.default.strip("`"))
        assert read_config(example_without(row.key)) == read_config(example_with(row.key, default))


def test_latency_objective_and_client_timeout_default_to_each_other() -> None:
    objective, timeout = "settings.classes[].aim", "settings.classes[].giveUp"
    for config in (example_without(objective), example_without(timeout)):
        classes = read_config(config).settings.classes.values()
        assert all(each.latency_objective == each.client_timeout for each in classes)
    classes = read_config(example_without(objective, timeout)).settings.classes.values()
    assert all((each.latency_objective, each.client_timeout) == (1.0, 1.0) for each in classes)


@pytest.mark.parametrize("row", [row for row in FILE_ROWS if row.range.startswith("at least ")], ids=str)
def test_documented_minimum_is_that_of_the_reader(row: Row) -> None:
    """The minimum itself is accepted; a smaller value or an empty list is an error."""
    found = re.match(r"at least (-?[0-9.]+)", row.range)
    if found is None:
        assert row.range == "at least one class"
        with pytest.raises(ConfigError):
            read_config(example_with(row.key, []))
        return
    minimum = float(found[1])
    read_config(example_with(row.key, minimum))
    with pytest.raises(ConfigError):
        read_config(example_with(row.key, minimum - 1e-6))


@pytest.mark.parametrize(
    "row", [row for row in FILE_ROWS if re.fullmatch(r"`\w+`(, `\w+`)+", row.range)], ids=str
)
def test_documented_words_are_those_of_the_reader(row: Row) -> None:
    """Each word that the page lists is accepted, and any other is an error."""
    for word in re.findall(r"`(\w+)`", row.range):
        read_config(example_with(row.key, word))
    with pytest.raises(ConfigError):
        read_config(example_with(row.key, "unheard_of"))


def test_terms_of_the_page_are_fields_of_the_code() -> None:
    """Each term names a field, and each field of the settings is on the page."""
    terms = {row.term.strip("`") for row in FILE_ROWS} - {""}
    known = {f"{name}.{field.name}" for name, record in RECORD_TYPES.items() for field in fields(record)}
    assert terms <= known
    settings = {f"Settings.{field.name}" for field in fields(Settings)}
    classes = {f"RequestClass.{field.name}" for field in fields(RequestClass)}
    assert settings | classes <= terms


def test_example_uses_loopback_addresses_alone() -> None:
    config = read_config(EXAMPLE)
    addresses = [config.listen[0], config.discovery, *(each.address for each in config.cached_endpoints)]
    assert all(address.startswith("127.0.0.1") for address in addresses)


def test_readme_starts_a_router_with_the_example() -> None:
    assert (
        f"RELAY_CONFIG={EXAMPLE_PATH} .venv/bin/python -B -m cache_router" in (ROOT / "README.md").read_text()
    )


@pytest.mark.time_limit(PROCESS_TEST_TIMEOUT)
async def test_router_starts_with_the_example(tmp_path: Path) -> None:
    """Free ports replace the fixed ones, which may be in use by other processes on the machine."""
    async with Peer() as discovery, Clients() as clients:
        addresses = {"listen": "127.0.0.1:0", "discovery": discovery.address}
        config = {**orjson.loads(EXAMPLE), **addresses}
        async with router_process(config, tmp_path / "config.json") as process:
            client = await clients.connect_and_ping(await listen_address(process.stderr))
            client.close()
            process.terminate()
            assert await process.wait() == 0
