"""The objects that all components of a simulation share."""

from __future__ import annotations

import random
from dataclasses import dataclass

from cache_router.settings import Settings
from scale_experiments.simulation.decision_timer import DecisionTimer
from scale_experiments.simulation.event_queue import EventQueue
from scale_experiments.simulation.model import FleetModel
from scale_experiments.simulation.network import Network
from scale_experiments.simulation.statistics import FleetStatistics


@dataclass(slots=True, frozen=True)
class SimulationContext:
    """The clock, network, statistics and configuration of one simulated fleet.

    All components draw from the same `random`, so that the results of a seed also depend on the order of
    the draws.
    """

    settings: Settings
    model: FleetModel
    random: random.Random
    events: EventQueue
    network: Network
    statistics: FleetStatistics
    decision_timer: DecisionTimer
