"""Plugin for coroutine tests: a time limit, and a failure when a callback of the event loop raises."""

from __future__ import annotations

import asyncio
import functools
import inspect
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import pytest

DEFAULT_TIME_LIMIT = 10.0  # seconds after which a coroutine test fails

LoopErrors = list[dict[str, Any]]  # contexts that the event loop hands to its exception handler


def pytest_configure(config: pytest.Config) -> None:
    """Register the marker that overrides the time limit."""
    config.addinivalue_line(
        "markers", f"time_limit(seconds): time limit of a coroutine test, {DEFAULT_TIME_LIMIT:g} s by default"
    )


@pytest.fixture(autouse=True)
def loop_errors(request: pytest.FixtureRequest) -> Iterator[LoopErrors]:
    """Limit the time of a coroutine test, and fail the test when a callback of its event loop raises.

    The event loop only logs an exception in a callback; it does not propagate to the test. The check follows
    the close of the loop, so that it includes exceptions of tasks that are cancelled at that point.
    """
    errors: LoopErrors = []
    if inspect.iscoroutinefunction(request.function):
        marker = request.node.get_closest_marker("time_limit")
        time_limit = marker.args[0] if marker is not None else DEFAULT_TIME_LIMIT
        request.node.obj = with_time_limit(request.node.obj, time_limit, errors)
    yield errors
    assert not errors, f"exceptions in callbacks of the event loop: {errors}"


def with_time_limit(
    test: Callable[..., Awaitable[None]], time_limit: float, errors: LoopErrors
) -> Callable[..., Awaitable[None]]:
    """Wrap a coroutine test: it raises `TimeoutError` after `time_limit` seconds and records `errors`."""

    @functools.wraps(test)
    async def wrapped(*args: Any, **fixtures: Any) -> None:
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with asyncio.timeout(time_limit):
            await test(*args, **fixtures)

    return wrapped
