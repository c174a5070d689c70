"""The simulated connection pool assigns the same connection to an attempt as the real one."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus
from tests.support.connection_pools import REUSE_DELAY, PoolUnderTest, ScenarioRunner


def test_a_connection_carries_one_attempt_at_a_time(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send() == 1
        assert await pool.closed() == set()

    run_scenario(scenario, 8)


def test_the_connection_idle_for_longest_is_reused_first(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        for connection in (1, 2, 0):
            await pool.respond(connection)
            await pool.wait(1.0)
        await pool.wait(REUSE_DELAY)
        assert [await pool.send() for _ in range(4)] == [1, 2, 0, 3]

    run_scenario(scenario, 8)


def test_a_connection_is_reused_only_after_the_delay(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.respond(0)
        await pool.wait(REUSE_DELAY - 5)
        assert await pool.send() == 1
        await pool.wait(10.0)
        assert await pool.send() == 0

    run_scenario(scenario, 8)


def test_a_connection_to_an_earlier_process_is_not_reused(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send(incarnation=1) == 0
        await pool.respond(0)
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send(incarnation=2) == 1
        assert await pool.closed() == {0}

    run_scenario(scenario, 8)


@pytest.mark.parametrize(
    ("precondition_status", "closed", "next_connection"),
    [(AttemptStatus.NOT_SENT, set(), 0), (AttemptStatus.CONNECT_FAILED, {0}, 1)],
)
def test_the_precondition_is_checked_once_a_connection_is_up(
    run_scenario: ScenarioRunner, precondition_status: AttemptStatus, closed: set[int], next_connection: int
) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send(precondition_status=precondition_status) is precondition_status
        assert await pool.closed() == closed
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send() == next_connection

    run_scenario(scenario, 8)
