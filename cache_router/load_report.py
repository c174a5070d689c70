"""Parses the load report that a server adds to its responses; the settings name the report's values."""

from __future__ import annotations

import math
from collections.abc import Mapping
from contextlib import suppress
from typing import TypeGuard

from cache_router.decisions.events import LoadReport

# Names of the values in a load report that the decisions use.
SERVICE_TIME_MS = "svc_ms"
QUEUE_LENGTH = "pending"
MAX_LOAD_REPORT_SIZE = 256  # bytes of a load report that are parsed; further ones are ignored


def parse_load_report(text: bytes, names: tuple[str, ...]) -> LoadReport | None:
    """Parse comma-separated `name=value` pairs, ignoring those whose name is not in `names`.

    Return None if a value that the decisions use is missing or invalid.
    """
    values: dict[str, float] = {}
    for pair in text[:MAX_LOAD_REPORT_SIZE].decode("latin-1").split(","):
        name, _, value = pair.partition("=")
        if name in names:
            with suppress(ValueError):
                values[name] = float(value)
    return load_report_from_values(values)


def load_report_from_values(values: Mapping[str, object]) -> LoadReport | None:
    """Create a load report; return None if a value that the decisions use is missing or invalid.

    Reports are noisy, and a malformed value must not affect a decision.
    """
    service_time_ms = values.get(SERVICE_TIME_MS)
    queue_length = values.get(QUEUE_LENGTH)
    if not _is_non_negative_number(service_time_ms) or not _is_non_negative_number(queue_length):
        return None
    return LoadReport(service_time_ms / 1000, queue_length)


def _is_non_negative_number(value: object) -> TypeGuard[float]:
    """Return whether a value is a finite number of at least 0.

    A bool is an int in Python, but not a number in JSON.
    """
    return isinstance(value, (int, float)) and not isinstance(value, bool) and 0 <= value < math.inf
