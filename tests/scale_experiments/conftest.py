"""Fixtures of the tests of the simulated fleet."""

from __future__ import annotations

from typing import cast

import pytest

from tests.support.connection_pools import Play, play_on_real_pool, play_on_simulated_pool


@pytest.fixture(params=[play_on_real_pool, play_on_simulated_pool], ids=["real", "simulated"])
def play(request: pytest.FixtureRequest) -> Play:
    """Return a function that plays a scenario on the real or the simulated pool, with a descriptor budget."""
    return cast(Play, request.param)
