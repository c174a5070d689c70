"""Recovery time of a fleet, from the share of requests that it serves in each second."""

from __future__ import annotations

from collections.abc import Sequence

RECOVERED_SHARE = 0.95  # a fleet that serves this share of each second's requests has recovered


def recovery_seconds(seconds: Sequence[float]) -> float:
    """Return the seconds until the share reaches `RECOVERED_SHARE` and stays there.

    `seconds` has the share of requests served in each second. If the last share is too low, the result is the
    number of all seconds.
    """
    return float(max((i + 1 for i, share in enumerate(seconds) if share < RECOVERED_SHARE), default=0))
