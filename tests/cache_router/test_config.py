"""Reading and validation of the router's configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from cache_router.config import ConfigError, load_config, read_config
from cache_router.errors import RouterError
from tests.support.router_process import VALID_CONFIG
from tests.support.settings_json import SETTINGS_JSON


def test_configuration_is_read() -> None:
    """Each field of a valid configuration is converted to its type."""
    config = read_config(orjson.dumps(VALID_CONFIG))
    assert (config.listen, config.discovery) == (("127.0.0.1", 6379), "127.0.0.1:8500")
    assert (config.seed, config.max_descriptors, config.cached_index) == (0x8C1F30D27A5BE964, 1024, 41)
    assert [e.entry.name for e in config.cached_endpoints] == ["s-1"]
    assert config.settings.classes["pay"].idempotency_window == 5.0


@pytest.mark.parametrize(
    ("change", "where"),
    [
        ({"listen": "here"}, "listen"),
        ({"seed": "xyz"}, "seed"),
        ({"settings": {**SETTINGS_JSON, "skus": 3}}, "settings"),
        ({"limits": {"sockets": 1}}, "limits"),
        ({"known": None}, "known"),
    ],
)
def test_configuration_error_names_its_field(change: dict[str, Any], where: str) -> None:
    """`where` is the part of the configuration that an operator has to correct."""
    with pytest.raises(RouterError) as caught:
        read_config(orjson.dumps({**VALID_CONFIG, **change}))
    assert isinstance(caught.value, ValueError)
    assert caught.value.where == where


def test_error_in_a_file_names_the_file(tmp_path: Path) -> None:
    """An operator sees which file to correct; `where` stays the field."""
    path = tmp_path / "config.json"
    path.write_bytes(orjson.dumps({**VALID_CONFIG, "seed": None}))
    with pytest.raises(ConfigError) as caught:
        load_config(str(path))
    assert str(caught.value) == f"{path}: seed must be hex digits, not None"
    assert caught.value.where == "seed"
