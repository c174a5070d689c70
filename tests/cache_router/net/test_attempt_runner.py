"""Attempts that are not sent, are cancelled, or time out."""

from __future__ import annotations

from dataclasses import replace

import pytest

from cache_router.decisions.actions import Action, Cancel, Fail, Reject, Send
from cache_router.decisions.events import AttemptCompleted, AttemptStatus, Event, Request
from tests.support.loopback import encode_command, encode_read, error_text
from tests.support.loopback_router import SETTINGS, Router, router_with


@router_with(settings=replace(SETTINGS, max_attempts=1))
async def test_useless_attempts_are_not_sent_and_a_request_is_answered_once(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Attempts over the limit or after the final answer are not sent; further replies are discarded."""
    completed: list[AttemptCompleted] = []

    def handle(now: float, event: Event) -> list[Action]:
        if isinstance(event, AttemptCompleted):
            completed.append(event)
        if isinstance(event, Request):
            return [Send("r1", "a"), Send("r1", "b")]
        if isinstance(event, AttemptCompleted) and event.attempt_number == 1:
            return [Reject("r1", 0.25), Fail("r1"), Send("r1", "b"), Cancel("r1", 0)]
        return []

    monkeypatch.setattr(router.dispatcher.router, "handle", handle)
    client = await router.client()
    client.write(encode_read("r1") + encode_command("PING"))
    assert error_text(await client.read_resp()) == "BUSY 250"
    assert await client.read_resp() == b"PONG"
    outcomes = [(a.attempt_number, a.status, a.request_closed) for a in completed]
    assert outcomes == [
        (1, AttemptStatus.NOT_SENT, False),
        (2, AttemptStatus.NOT_SENT, True),
        (0, AttemptStatus.CANCELLED, True),
    ]


async def test_attempt_times_out_after_its_own_timeout(
    router: Router, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The timeout of an attempt may be shorter than the deadline of its request."""

    def handle(now: float, event: Event) -> list[Action]:
        if isinstance(event, Request):
            return [Send("r1", "a", 0.05)]
        if isinstance(event, AttemptCompleted):
            assert event.status is AttemptStatus.TIMEOUT
            assert not event.request_closed
            return [Fail("r1")]
        return []

    monkeypatch.setattr(router.dispatcher.router, "handle", handle)
    client = await router.client()
    client.write(encode_read("r1"))
    assert error_text(await client.read_resp()) == "ERR failed"
