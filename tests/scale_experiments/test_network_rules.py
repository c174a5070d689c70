"""The constants of the simulated network rules equal those of the network code."""

from __future__ import annotations

from cache_router.descriptor_budget import DescriptorBudget
from cache_router.net import connection_pool, dispatcher
from scale_experiments.simulation import network_rules
from scale_experiments.simulation.model import FleetModel


def test_the_constants_are_those_of_the_network_code() -> None:
    assert network_rules.IDLE_MARGIN == connection_pool.IDLE_MARGIN
    assert network_rules.REUSE_DELAY == connection_pool.REUSE_DELAY
    assert network_rules.DEADLINE_MARGIN == dispatcher.DEADLINE_MARGIN
    model = FleetModel(1, 1, 1.0)
    assert model.reuse_delay == network_rules.REUSE_DELAY
    assert model.router_descriptors == network_rules.ROUTER_DESCRIPTORS == 372
    assert DescriptorBudget.divide(1024).caches == network_rules.ROUTER_DESCRIPTORS
