"""Requests in flight: their ids, and when they are removed."""

from __future__ import annotations

from tests.support.loopback import HIT, Router, error_text, read, run


def test_request_id_in_use_is_rejected() -> None:
    """Two requests under one id would get each other's replies."""

    async def scenario() -> None:
        async with Router() as router:
            other = await router.client()
            client, cache = await router.start_read()
            other.write(read("r1"))
            assert "in use" in error_text(await other.resp())
            cache.write(HIT)
            assert await client.resp() == b"value"
            other.write(read("r1"))  # nor right after the reply
            assert "in use" in error_text(await other.resp())

    run(scenario)


def test_answered_request_is_removed_at_once() -> None:
    """Otherwise its id and value would stay in memory until its deadline, for up to ten minutes."""

    async def scenario() -> None:
        async with Router() as router:
            client, cache = await router.start_read(info="c=read,t=x,d=600000,h=" + "9" * 400)
            cache.write(HIT)
            assert await client.resp() == b"value"
            assert not router.dispatcher.requests

    run(scenario)
