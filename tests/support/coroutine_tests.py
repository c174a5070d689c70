"""Fixtures for tests that are coroutines: a time limit, and failure when a callback of the loop raises."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

DEFAULT_TIME_LIMIT = 10.0  # seconds after which a test that still waits for an event fails

LoopErrors = list[dict[str, Any]]  # contexts that the event loop hands to its exception handler


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker that changes the time limit."""
    config.addinivalue_line(
        "markers", f"time_limit(seconds): time limit of a coroutine test, {DEFAULT_TIME_LIMIT:g} s by default"
    )


@pytest.fixture(autouse=True)
def loop_errors(request: pytest.FixtureRequest) -> Iterator[LoopErrors]:
    """Bound the time of a coroutine test, and fail it when a callback of its event loop raises.

    An exception in a callback does not reach the test by itself: the event loop only logs it. The check comes
    after the loop has been closed, so that exceptions of tasks that are cancelled then count too.
    """
    errors: LoopErrors = []
    if inspect.iscoroutinefunction(request.function):
        marker = request.node.get_closest_marker("time_limit")
        time_limit = marker.args[0] if marker is not None else DEFAULT_TIME_LIMIT
        request.node.obj = bounded(request.node.obj, time_limit, errors)
    yield errors
    assert not errors, f"exceptions in callbacks of the event loop: {errors}"


def bounded(
    test: Callable[..., Awaitable[None]], time_limit: float, errors: LoopErrors
) -> Callable[..., Awaitable[None]]:
    """Wrap a coroutine test: it raises `TimeoutError` after `time_limit` seconds and records `errors`."""

    @functools.wraps(test)
    async def wrapped(*args: Any, **fixtures: Any) -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with asyncio.timeout(time_limit):
            await test(*args, **fixtures)

    return wrapped
