"""The ids of finished requests."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cache_router.net import used_ids
from cache_router.net.clock import Clock
from cache_router.net.used_ids import MAX_REUSE_DELAY, MIN_REUSE_DELAY, UsedIds, reuse_delay
from tests.support.event_order import wait_until
from tests.support.loopback import encode_keyed_write, error_text
from tests.support.loopback_router import KEYED_WRITE, READ, SETTINGS, Router


async def test_id_is_rejected_for_as_long_as_its_write_may_run_twice(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an id that runs twice when it comes again after its client has left (issue 37)."""
    client = await router.client()
    client.write(encode_keyed_write("w1"))
    origin = await router.origin.accept_connection()
    await origin.read_http()
    client.reset()
    await wait_until(lambda: not router.dispatcher.requests)
    now = Clock.now
    for n in range(2):  # finished requests start generations of ids
        passed = (n + 1) * KEYED_WRITE.idempotency_window / 3
        monkeypatch.setattr(Clock, "now", lambda clock, passed=passed: now(clock) + passed)
        other = await router.client()
        other.write(encode_keyed_write(f"w{n + 2}"))
        await wait_until(lambda: len(router.dispatcher.requests) == 1)
        other.reset()
        await wait_until(lambda: not router.dispatcher.requests)
    again = await router.client()
    again.write(encode_keyed_write("w1"))
    assert "in use" in error_text(await again.read_resp())


@pytest.mark.parametrize(
    ("window", "timeout", "expected"),
    [(5.0, 1.2, 5.0), (0.0, 3.0, 3.0), (0.5, 1.0, MIN_REUSE_DELAY), (600.0, 1.0, MAX_REUSE_DELAY)],
)
def test_delay_follows_the_settings(window: float, timeout: float, expected: float) -> None:
    keyed = replace(KEYED_WRITE, idempotency_window=window, client_timeout=timeout)
    read = replace(READ, client_timeout=timeout)
    assert reuse_delay(replace(SETTINGS, classes={"read": read, "book": keyed})) == expected


def test_number_of_ids_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with the names that a client invents (issue 37)."""
    monkeypatch.setattr(used_ids, "MAX_IDS", 100)
    ids = UsedIds(delay=60.0, now=0.0)
    for n in range(1000):
        ids.add(f"r{n}", 0.0)
    kept = [n for n in range(1000) if f"r{n}" in ids]
    assert kept == list(range(800, 1000))
