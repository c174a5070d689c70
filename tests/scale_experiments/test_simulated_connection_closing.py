"""The simulated connection pool closes connections at the same times as the real one."""

from __future__ import annotations

from cache_router.decisions.events import AttemptStatus
from tests.support.connection_pools import IDLE_TIME, PoolUnderTest, ScenarioRunner


def test_an_idle_connection_is_closed_before_the_server_would_close_it(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.respond(0)
        await pool.wait(IDLE_TIME / 2)
        assert await pool.send() == 0
        await pool.wait(IDLE_TIME)  # the connection is in use during this time
        assert await pool.closed() == set()
        await pool.respond(0)
        await pool.wait(IDLE_TIME - 5)
        assert await pool.closed() == set()
        await pool.wait(10.0)
        assert await pool.closed() == {0}
        assert await pool.send() == 1

    run_scenario(scenario, 8)


def test_beyond_the_budget_the_connection_idle_for_longest_is_closed(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        assert await pool.send() is AttemptStatus.NOT_SENT
        for connection in (1, 0):
            await pool.respond(connection)
        # Both idle connections are within the reuse delay, so that neither is reused.
        assert await pool.send() == 3
        assert await pool.closed() == {1}
        assert await pool.send() == 4
        assert await pool.closed() == {0, 1}
        assert await pool.send() is AttemptStatus.NOT_SENT

    run_scenario(scenario, 3)


def test_the_idle_connections_to_a_server_are_closed_at_once(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        for connection in (0, 2):
            await pool.respond(connection)
        await pool.close_idle()
        assert await pool.closed() == {0, 2}

    run_scenario(scenario, 8)


def test_an_attempt_that_is_abandoned_closes_its_connection(run_scenario: ScenarioRunner) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(2)] == [0, 1]
        await pool.abandon(0)
        assert await pool.closed() == {0}

    run_scenario(scenario, 8)
