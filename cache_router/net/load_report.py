"""The load report that a server puts into its answers."""

from __future__ import annotations

from contextlib import suppress

from cache_router.decisions.events import LoadReport
from cache_router.settings_reader import read_load

MAX_LOAD_REPORT = 256  # bytes that are looked at


def parse_load_report(text: bytes, names: tuple[str, ...]) -> LoadReport | None:
    """Read `name=value` pairs, parted by commas, of the given names; None where a value is missing."""
    values: dict[str, float] = {}
    for pair in text[:MAX_LOAD_REPORT].decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        if name in names:
            with suppress(ValueError):
                values[name] = float(value)
    return read_load(values)
