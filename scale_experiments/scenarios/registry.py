"""The scenarios that an experiment can name."""

from __future__ import annotations

import importlib
from collections.abc import Iterator, Mapping, Sequence

from scale_experiments.runs.scenario import AnyScenario

# Each is a module of this package that defines SCENARIO.
SCENARIO_NAMES = (
    "cold_start",
    "connections",
    "list_change",
    "list_change_process",
    "placement",
    "sockets",
    "surge",
    "watch",
    "zone_loss",
)


class ScenarioRegistry(Mapping[str, AnyScenario]):
    """Scenarios by name.

    A scenario's module is imported only when the scenario is looked up, because some import large packages.
    """

    def __init__(self, names: Sequence[str]) -> None:
        self._names = names

    def __getitem__(self, name: str) -> AnyScenario:
        """Return the scenario with this name. Raises KeyError if there is none."""
        if name not in self._names:
            raise KeyError(name)
        scenario: AnyScenario = importlib.import_module(f"{__package__}.{name}").SCENARIO
        return scenario

    def __iter__(self) -> Iterator[str]:
        return iter(self._names)

    def __len__(self) -> int:
        return len(self._names)


SCENARIOS = ScenarioRegistry(SCENARIO_NAMES)
