"""The load report that a server puts into its answers, by the names that the settings give its values."""

from __future__ import annotations

import math
from contextlib import suppress
from typing import Any

from cache_router.decisions.events import LoadReport

# the names of the values in a load report that decisions use
SERVICE_TIME_MS = "svc_ms"
QUEUE_LENGTH = "pending"
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


def read_load(values: dict[str, Any]) -> LoadReport | None:
    """A load report from its named values; None where it lacks one that decisions use, or one is no number.

    Reports are noisy: what cannot be a load must not count as one.
    """
    service_time_ms: Any = values.get(SERVICE_TIME_MS)
    queue_length: Any = values.get(QUEUE_LENGTH)
    for value in (service_time_ms, queue_length):
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
            return None
    return LoadReport(service_time_ms / 1000, queue_length)
