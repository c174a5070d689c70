"""The plugin for coroutine tests, in separate runs of pytest."""

from __future__ import annotations

import pytest

CONFIGURATION = """
[pytest]
asyncio_mode = auto
asyncio_default_fixture_loop_scope = function
"""


def run_tests(pytester: pytest.Pytester, source: str) -> pytest.RunResult:
    """Run the tests of a module with the plugin, in this process."""
    pytester.makeini(CONFIGURATION)
    pytester.makepyfile("import asyncio\nimport pytest\n" + source)
    return pytester.runpytest_inprocess("-p", "tests.support.coroutine_tests", "-p", "no:cacheprovider")


def test_coroutine_without_faults_passes(pytester: pytest.Pytester) -> None:
    result = run_tests(pytester, "async def test_pause():\n    await asyncio.sleep(0)\n")
    result.assert_outcomes(passed=1)


def test_coroutine_that_hangs_fails_at_its_time_limit(pytester: pytest.Pytester) -> None:
    source = """
@pytest.mark.time_limit(0.05)
async def test_hangs():
    await asyncio.Event().wait()
"""
    result = run_tests(pytester, source)
    result.assert_outcomes(failed=1)
    result.stdout.fnmatch_lines(["*TimeoutError*"])


def test_coroutine_whose_callback_raises_fails(pytester: pytest.Pytester) -> None:
    source = """
async def test_callback_raises():
    asyncio.get_running_loop().call_soon(int, "no number")
    await asyncio.sleep(0.01)
"""
    result = run_tests(pytester, source)
    result.assert_outcomes(passed=1, errors=1)
    result.stdout.fnmatch_lines(["*exceptions in callbacks of the event loop*no number*"])


def test_exception_of_a_task_that_outlives_its_test_fails_it(pytester: pytest.Pytester) -> None:
    source = """
async def raise_when_cancelled():
    try:
        await asyncio.Event().wait()
    finally:
        raise ValueError("raised while the loop closed")

async def test_leaves_a_task():
    task = asyncio.create_task(raise_when_cancelled())
    await asyncio.sleep(0.01)
"""
    result = run_tests(pytester, source)
    result.assert_outcomes(passed=1, errors=1)
    result.stdout.fnmatch_lines(["*raised while the loop closed*"])


def test_coroutine_takes_fixtures_and_parameters(pytester: pytest.Pytester) -> None:
    source = """
@pytest.mark.parametrize("number", [1, 2])
async def test_parameters(number, tmp_path):
    assert number
    assert tmp_path.exists()
"""
    run_tests(pytester, source).assert_outcomes(passed=2)
