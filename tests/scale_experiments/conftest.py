"""Fixtures of the tests of the simulated fleet."""

from __future__ import annotations

from typing import cast

import pytest

from tests.support.connection_pools import ScenarioRunner, run_on_real_pool, run_on_simulated_pool


@pytest.fixture(params=[run_on_real_pool, run_on_simulated_pool], ids=["real", "simulated"])
def run_scenario(request: pytest.FixtureRequest) -> ScenarioRunner:
    """Return a function that runs a scenario on the real or the simulated pool, with a descriptor budget."""
    return cast(ScenarioRunner, request.param)
