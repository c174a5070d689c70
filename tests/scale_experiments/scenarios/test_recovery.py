"""Recovery time: seconds until a fleet serves nearly all requests and continues to do so."""

from __future__ import annotations

import pytest

from scale_experiments.scenarios.recovery import RECOVERED_SHARE, recovery_seconds


@pytest.mark.parametrize(
    ("shares", "seconds"),
    [
        ([], 0.0),
        ([1.0, RECOVERED_SHARE], 0.0),
        ([0.2, 0.9, 0.95, 1.0], 2.0),
        ([0.2, 1.0, 0.9, 1.0], 3.0),  # below the share again after a good second
        ([1.0, 1.0, 0.5], 3.0),  # below the share in the last second
    ],
)
def test_recovery_ends_with_the_last_second_below_the_share(shares: list[float], seconds: float) -> None:
    assert recovery_seconds(shares) == seconds
