"""Deadlines for the steps of a graceful shutdown."""

from __future__ import annotations

import pytest

from cache_router.settings import RequestClass, Settings
from cache_router.shutdown_schedule import ShutdownSchedule


@pytest.mark.parametrize(("client_timeout", "sigkill_at"), [(0.6, 1.3), (3.0, 3.7), (9.0, 3.7)])
def test_shutdown_schedule_ends_before_sigkill(client_timeout: float, sigkill_at: float) -> None:
    """Replies are written 0.2 s before SIGKILL, and connections are closed 0.1 s before it."""
    settings = Settings({"read": RequestClass("read", 0.3, client_timeout=client_timeout)})
    schedule = ShutdownSchedule.from_settings(settings)
    assert schedule.accept_until == 0.5
    assert schedule.answer_until == pytest.approx(sigkill_at - 0.2)
    assert schedule.close_until == pytest.approx(sigkill_at - 0.1)
    assert schedule.sigkill_at == pytest.approx(sigkill_at)
