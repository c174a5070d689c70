"""Running a simulated fleet within the time limit of an experiment."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from scale_experiments.runs.context import ExperimentContext, Sample
from scale_experiments.simulation.fleet import Fleet


class TimeLimitReachedError(Exception):
    """The experiment's time was over before a sample was complete."""


def run_fleet(fleet: Fleet, seconds: float, context: ExperimentContext) -> None:
    """Run a fleet for some simulated seconds; raises TimeLimitReachedError if time is over meanwhile."""
    if not fleet.run(seconds, context.expired):
        raise TimeLimitReachedError


def complete_sample(measure_sample: Callable[[], Sample]) -> Iterator[Sample]:
    """The sample that a function measures; none if the experiment's time is over meanwhile."""
    try:
        sample = measure_sample()
    except TimeLimitReachedError:
        return
    yield sample
