"""The quota of a warming server at one router, compared with values computed by hand."""

from __future__ import annotations

import math

import pytest

from cache_router.decisions.slow_start_quota import SlowStartQuota, capacity_share, statistical_tolerance
from tests.support.router_inputs import entry, settings

WINDOW = 2.0  # seconds
SETTINGS = settings(
    router_count=4,
    slow_start_initial_share=0.2,
    slow_start_duration=10.0,
    overload_multiple=3.0,
    overload_window=WINDOW,
)
STARTED_AT = 100.0  # seconds on the router's clock


@pytest.mark.parametrize(("age", "share"), [(-1.0, 0.2), (0.0, 0.2), (5.0, 0.6), (10.0, 1.0), (50.0, 1.0)])
def test_share_of_capacity_rises_linearly_over_the_slow_start(age: float, share: float) -> None:
    endpoint = entry("a", started_at=STARTED_AT)
    assert capacity_share(SETTINGS, endpoint, STARTED_AT + age) == pytest.approx(share)


def test_server_without_a_start_time_has_its_full_capacity() -> None:
    assert capacity_share(SETTINGS, entry("a"), 1.0) == 1.0


def test_tolerances_of_all_routers_add_up_to_that_of_the_fleet() -> None:
    """The fleet expects 36 attempts: its tolerance is two standard deviations plus two attempts."""
    assert 4 * statistical_tolerance(36 / 4, router_count=4) == pytest.approx(2 * math.sqrt(36) + 2)


def test_quota_ends_at_the_expected_attempts_and_the_tolerance() -> None:
    """The window begins 3 s after the start, at a share of 0.44: 3 x 0.44 x 5 x 2 = 13.2 are expected."""
    now = STARTED_AT + 5.0
    limit = 13.2 + (2 * math.sqrt(13.2 * 4) + 2) / 4  # 17.33
    quota = SlowStartQuota(offset=0.5)
    admitted = 0
    while not quota.is_exhausted(SETTINGS, entry("a", started_at=STARTED_AT), 5.0, now):
        quota.add(now, WINDOW)
        admitted += 1
    assert admitted == math.floor(limit - 0.5) + 1 == 17


@pytest.mark.parametrize(("offset", "is_exhausted"), [(0.49, False), (0.51, True)])
def test_offset_decides_which_routers_send_to_a_server_with_a_small_quota(
    offset: float, is_exhausted: bool
) -> None:
    """Without throughput of warm servers, each quota is half an attempt: a tolerance of 2 for 4 routers."""
    quota = SlowStartQuota(offset)
    assert quota.is_exhausted(SETTINGS, entry("a", started_at=STARTED_AT), 0.0, STARTED_AT) is is_exhausted


def test_attempts_older_than_the_window_do_not_count() -> None:
    quota = SlowStartQuota(offset=0.2)
    endpoint = entry("a", started_at=STARTED_AT)
    quota.add(STARTED_AT, WINDOW)
    assert quota.is_exhausted(SETTINGS, endpoint, 0.0, STARTED_AT + WINDOW - 0.01)
    assert not quota.is_exhausted(SETTINGS, endpoint, 0.0, STARTED_AT + WINDOW)
    quota.add(STARTED_AT + WINDOW, WINDOW)
    assert quota.sent_at == [STARTED_AT + WINDOW]
