"""Running a simulated fleet within the time limit of an experiment."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.sample import Sample
from scale_experiments.simulation.fleet import Fleet


class TimeLimitReachedError(Exception):
    """Raised when the time limit of the experiment passes before a sample is complete."""


def run_fleet(fleet: Fleet, seconds: float, context: ExperimentContext) -> None:
    """Run a fleet for a number of simulated seconds.

    Raises TimeLimitReachedError if the time limit of the experiment passes before the end.
    """
    if not fleet.run(seconds, context.expired):
        raise TimeLimitReachedError


def complete_sample(measure_sample: Callable[[], Sample]) -> Iterator[Sample]:
    """Yield the sample that a function measures, or nothing if it raises TimeLimitReachedError."""
    try:
        sample = measure_sample()
    except TimeLimitReachedError:
        return
    yield sample
