"""The load report that a server puts into its answers, by the names that the settings give its values."""

from __future__ import annotations

import math
from collections.abc import Mapping
from contextlib import suppress
from typing import TypeGuard

from cache_router.decisions.events import LoadReport

# the names of the values in a load report that decisions use
SERVICE_TIME_MS = "svc_ms"
QUEUE_LENGTH = "pending"
MAX_LOAD_REPORT = 256  # bytes that are read; further ones are ignored


def parse_load_report(text: bytes, names: tuple[str, ...]) -> LoadReport | None:
    """Read `name=value` pairs, separated by commas, of the given names; None where a value is missing."""
    values: dict[str, float] = {}
    for pair in text[:MAX_LOAD_REPORT].decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        if name in names:
            with suppress(ValueError):
                values[name] = float(value)
    return read_load(values)


def read_load(values: Mapping[str, object]) -> LoadReport | None:
    """A load report from its named values; None where it lacks one that decisions use, or one is no load.

    Reports are noisy: a decision must not take a malformed value for a load.
    """
    service_time_ms = values.get(SERVICE_TIME_MS)
    queue_length = values.get(QUEUE_LENGTH)
    if not _is_load(service_time_ms) or not _is_load(queue_length):
        return None
    return LoadReport(service_time_ms / 1000, queue_length)


def _is_load(value: object) -> TypeGuard[float]:
    """Whether a value is a finite number of at least 0; a bool is an int in Python, but no number in JSON."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < math.inf
