"""Execution of an experiment: every repeat of every size, within the time limit."""

from __future__ import annotations

import contextlib
import math
import signal
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from types import FrameType

import structlog

from scale_experiments.runs.context import ExperimentContext, TimeLimitInterrupt
from scale_experiments.runs.experiment import CheckedExperiment
from scale_experiments.runs.log import Progress
from scale_experiments.runs.results import Result, new_result, stored_sample, write_result
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import AnyScenario

# time that a scenario has to return after the time limit, before it is interrupted
TIME_LIMIT_GRACE_S = 1.0


@dataclass(slots=True, frozen=True)
class RunOutcome:
    """A result, and whether Ctrl-C or SIGTERM ended the run before the result was complete."""

    result: Result
    interrupted: bool


def run(checked: CheckedExperiment, path: Path) -> RunOutcome:
    """Run an experiment, and rewrite the result at `path` after each sample.

    Exceptions of the scenario propagate; the result then has the samples measured before. Raises ValueError
    for a metric that the scenario doesn't declare or that is not finite.
    """
    return _Run(checked, path).execute()


class _Run:
    """One run of an experiment, and its result."""

    def __init__(self, checked: CheckedExperiment, path: Path) -> None:
        experiment = checked.experiment
        self.experiment = experiment
        self.scenario = checked.scenario
        self.parameters = checked.parameters
        self.path = path
        self.result = new_result(experiment, self.parameters, self.scenario.metric_descriptions)
        self.steps = experiment.repeats * len(experiment.sizes)
        self.progress = Progress(self.steps, experiment.time_limit_s)
        self.context = ExperimentContext(experiment.time_limit_s, self.progress.update)
        self.log = structlog.get_logger().bind(experiment=experiment.name, kind=experiment.kind)

    def execute(self) -> RunOutcome:
        """Measure until the result is complete, the time limit passes, or a signal arrives."""
        time_limit_s = self.experiment.time_limit_s
        self.log.info("start", result=str(self.path), measurements=self.steps, time_limit_s=time_limit_s)
        interrupted = False
        with interruptible(self.context, time_limit_s):
            try:
                with self.context:
                    self._measure_all()
            except TimeLimitInterrupt:
                self._log_warning("time limit reached")
            except KeyboardInterrupt:
                interrupted = not self.result.complete
                self._log_warning("interrupted")
            finally:
                self.progress.clear()
        self.log.info("end", complete=self.result.complete, samples=len(self.result.samples))
        return RunOutcome(self.result, interrupted)

    def _measure_all(self) -> None:
        """Measure every repeat of every size.

        Raises TimeLimitInterrupt if the time limit passes before the last step.
        """
        for step, (repeat, size) in enumerate(self._steps(), 1):
            columns = " ".join(f"{column}={value:g}" for column, value in size.items())
            self.progress.start_step(step, f"{columns} repeat={repeat}")
            self._measure(repeat, size)
            if self.context.expired() and step < self.steps:
                raise TimeLimitInterrupt
        with self.context.shielded():
            self.result.mark_complete()
            write_result(self.result, self.path)

    def _steps(self) -> Iterator[tuple[int, Mapping[str, float | int]]]:
        """Yield the repeats and sizes in order.

        All sizes are measured once before any is repeated, so that a change of the machine's load during the
        run affects all sizes alike.
        """
        for repeat in range(self.experiment.repeats):
            for size in self.experiment.sizes:
                yield repeat, size

    def _measure(self, repeat: int, size: Mapping[str, float | int]) -> None:
        seed = self.experiment.seed + repeat
        checked_size = self.scenario.size.model_validate(size)
        for sample in self.scenario.measure(self.parameters, checked_size, seed, self.context):
            check_metrics(sample, self.scenario)
            with self.context.shielded():
                self.result.add_sample(stored_sample(sample, size, seed, repeat))
                write_result(self.result, self.path)

    def _log_warning(self, event: str) -> None:
        self.log.warning(event, complete=self.result.complete, samples=len(self.result.samples))


@contextlib.contextmanager
def interruptible(context: ExperimentContext, time_limit_s: float) -> Iterator[None]:
    """Interrupt the run on Ctrl-C, SIGTERM or the time limit; restore the previous handlers on exit."""

    def interrupt(signal_number: int, _: FrameType | None) -> None:
        context.interrupt(TimeLimitInterrupt() if signal_number == signal.SIGALRM else KeyboardInterrupt())

    signals = (signal.SIGINT, signal.SIGTERM, signal.SIGALRM)
    previous_handlers = {number: signal.signal(number, interrupt) for number in signals}
    signal.setitimer(signal.ITIMER_REAL, time_limit_s + TIME_LIMIT_GRACE_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)


def check_metrics(sample: Sample, scenario: AnyScenario) -> None:
    """Raise ValueError for a metric that the scenario doesn't declare, or that is not finite."""
    for name, value in sample.metrics.items():
        if name not in scenario.metric_descriptions:
            raise ValueError(
                f"metric {name} must be one of the scenario's: {', '.join(scenario.metric_descriptions)}"
            )
        if not math.isfinite(value):
            raise ValueError(f"metric {name} must be finite, not {value}")
