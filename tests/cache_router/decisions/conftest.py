"""Fixtures for the tests of the decisions: drivers of one router, without or with an endpoint list."""

from __future__ import annotations

from typing import Any

import pytest

from cache_router.endpoint import Endpoint
from tests.support.driver import Driver, DriverFactory
from tests.support.router_inputs import settings
from tests.support.router_scenarios import CACHE_ASIDE, fleet


@pytest.fixture
def make_driver() -> DriverFactory:
    """A function that makes the driver of a router, given its endpoints and changes to the settings."""

    def make(*endpoints: Endpoint, seed: int = 1, **changes: Any) -> Driver:
        driver = Driver(settings(**changes), seed)
        if endpoints:
            driver.update_endpoints(*endpoints)
        return driver

    return make


@pytest.fixture
def driver(make_driver: DriverFactory) -> Driver:
    """The driver of a router that has received no endpoint list."""
    return make_driver()


@pytest.fixture
def cache_aside_driver(make_driver: DriverFactory) -> Driver:
    """The driver of a router that sends a request that missed at the cache "a" to the origin "o"."""
    return make_driver(*fleet("a", "o"), **CACHE_ASIDE)
