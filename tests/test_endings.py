"""What ends while something is still owed, over loopback: each test forces the bad order every time."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from brackenwalk.net import discovery as discoveries
from tests.loopback import HIT, SETTINGS, Link, Peer, Router, http, read, run
from tests.test_net_discovery import LINE, message

PUSHED = replace(SETTINGS, subscribe=False, drain_grace=0.5, fall_window=60.0, ramp=60.0)


def line(name: str, peer: Peer, status: str = "in_service") -> dict[str, Any]:
    return {**LINE, "name": name, "address": peer.address, "type": "std", "status": status, "since_ms": 0}


async def asked(agent: Peer) -> Link:
    """The next call for the list."""
    link = await agent.link()
    await link.http()
    return link


@pytest.mark.parametrize("end", ["silent", "reset", "spoilt"])
def test_a_watch_that_dies_is_opened_anew_before_drains_must_be_kept(
    end: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The doubling pause would last 30 s and more here, while the agent has long been told of a drain."""

    async def scenario() -> None:
        monkeypatch.setattr(discoveries, "WATCH_WAIT", 0.02)
        monkeypatch.setattr(discoveries, "ANSWER_MARGIN", 0.02)
        async with Peer() as agent, Router(PUSHED) as router:
            router.watch(agent)
            for _ in range(3):  # in a row
                link = await asked(agent)
                if end == "reset":
                    link.reset()
                elif end == "spoilt":
                    link.write(http("200 OK", b"{"))
            link = await asked(agent)
            monkeypatch.undo()
            link.write(http("200 OK", message(2, False, line("a", router.caches["a"], "terminating"))))
            await asked(agent)  # it is held now
            client = await router.client()
            cache: Link | None = None
            for n in range(8):
                client.write(read(f"r{n}", f"k{n}"))
                cache = cache or await router.caches["b"].link()
                await cache.resp()
                cache.write(HIT)
                assert await client.resp() == b"value"
            assert router.caches["a"].links.empty()

    run(scenario)


def test_silence_is_found_and_asked_about_before_what_it_hides_counts_as_told() -> None:
    """Told six seconds after silence began, which may be the instant after a call was taken."""
    found = discoveries.WATCH_WAIT + discoveries.ANSWER_MARGIN
    assert found + PUSHED.drain_grace / 2 < 6.0
