"""How long a fleet takes to recover, from the shares of requests that it serves in each second."""

from __future__ import annotations

from collections.abc import Sequence

RECOVERED_SHARE = 0.95  # a fleet has recovered once it serves this share of a second's requests


def recovery_seconds(seconds: Sequence[float]) -> float:
    """Seconds until the share reaches `RECOVERED_SHARE` and stays there; all seconds if it never does.

    `seconds` are the shares of requests served in each second.
    """
    return float(max((i + 1 for i, share in enumerate(seconds) if share < RECOVERED_SHARE), default=0))
