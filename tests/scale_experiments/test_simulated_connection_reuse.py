"""The simulated connection pool assigns the same connection to an attempt as the real one."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import AttemptStatus
from tests.support.connection_pools import REUSE_DELAY, Play, PoolUnderTest


def test_a_connection_carries_one_attempt_at_a_time(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send() == 1
        assert await pool.closed() == set()

    play(scenario, 8)


def test_the_connection_idle_for_longest_is_reused_first(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert [await pool.send() for _ in range(3)] == [0, 1, 2]
        for connection in (1, 2, 0):
            await pool.answer(connection)
            await pool.wait(1.0)
        await pool.wait(REUSE_DELAY)
        assert [await pool.send() for _ in range(4)] == [1, 2, 0, 3]

    play(scenario, 8)


def test_a_connection_is_reused_only_after_the_delay(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send() == 0
        await pool.answer(0)
        await pool.wait(REUSE_DELAY - 5)
        assert await pool.send() == 1
        await pool.wait(10.0)
        assert await pool.send() == 0

    play(scenario, 8)


def test_a_connection_to_an_earlier_process_is_not_reused(play: Play) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send(process=1) == 0
        await pool.answer(0)
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send(process=2) == 1
        assert await pool.closed() == {0}

    play(scenario, 8)


@pytest.mark.parametrize(
    ("ends", "closed", "next_connection"),
    [(AttemptStatus.NOT_SENT, set(), 0), (AttemptStatus.CONNECT_FAILED, {0}, 1)],
)
def test_the_precondition_is_checked_once_a_connection_is_up(
    play: Play, ends: AttemptStatus, closed: set[int], next_connection: int
) -> None:
    async def scenario(pool: PoolUnderTest) -> None:
        assert await pool.send(ends=ends) is ends
        assert await pool.closed() == closed
        await pool.wait(REUSE_DELAY + 1)
        assert await pool.send() == next_connection

    play(scenario, 8)
