"""Sizes of the zone_loss scenario: the routers that are run, and the router count of the settings."""

from __future__ import annotations

import pytest

from scale_experiments.scenarios.zone_loss import Parameters, Size, build_fleet


@pytest.mark.parametrize(("size", "configured"), [({}, 4), ({"told": 40}, 40)])
def test_settings_have_the_router_count_of_the_size(size: dict[str, int], configured: int) -> None:
    parameters = Parameters.model_validate({"lost": "rack", "zones": 4, "regions": 2})
    columns = Size.model_validate({"routers": 4, "caches": 8, "cores": 1} | size)
    fleet = build_fleet(parameters, columns, seed=1)
    assert len(fleet.routers) == 4
    assert fleet.settings.router_count == configured
