"""Fixtures for the tests that run the router on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

import pytest

from tests.support.coroutine_tests import DEFAULT_TIME_LIMIT, LoopErrors
from tests.support.loopback import Clients, Peer
from tests.support.loopback_router import Router


@pytest.fixture
async def peer() -> AsyncIterator[Peer]:
    """A listening server whose responses the test writes."""
    async with Peer() as peer:
        yield peer


@pytest.fixture
async def clients() -> AsyncIterator[Clients]:
    """Client connections that the test opens; they are closed after the test."""
    async with Clients() as clients:
        yield clients


@pytest.fixture
async def router(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch, loop_errors: LoopErrors
) -> AsyncIterator[Router]:
    """A running router between two cache servers and an origin; `router_with` changes its options.

    The fixture requests `monkeypatch`, so that the replacements of a test stay in place until the router has
    stopped. The time limit of a test does not cover its fixtures, so this one has its own.
    """
    asyncio.get_running_loop().set_exception_handler(lambda _, context: loop_errors.append(context))
    create: Callable[[], Router] = getattr(request, "param", Router)
    router = create()
    async with asyncio.timeout(DEFAULT_TIME_LIMIT):
        await router.__aenter__()
    yield router
    async with asyncio.timeout(DEFAULT_TIME_LIMIT):
        await router.__aexit__(None, None, None)
