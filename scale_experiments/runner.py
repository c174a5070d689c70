"""Runs an experiment: each size in turn, as often as it says, within its time limit."""

from __future__ import annotations

import contextlib
import math
import signal
from collections.abc import Iterator
from pathlib import Path
from types import FrameType

import structlog
from pydantic import BaseModel

from scale_experiments.context import Lab, Sample, TimeLimit
from scale_experiments.experiment import Experiment, Kind
from scale_experiments.log import Progress
from scale_experiments.results import Result, measured, new_result, write_result

TO_STOP_S = 1.0  # for a kind to end by itself once its time is over, before it is broken off


@contextlib.contextmanager
def interruptible(lab: Lab, time_limit_s: float) -> Iterator[None]:
    """Ctrl-C, SIGTERM and the time limit end the run, once, and what it has started."""

    def stop(number: int, frame: FrameType | None) -> None:
        lab.interrupt(TimeLimit() if number == signal.SIGALRM else KeyboardInterrupt())

    before = {each: signal.signal(each, stop) for each in (signal.SIGINT, signal.SIGTERM, signal.SIGALRM)}
    signal.setitimer(signal.ITIMER_REAL, time_limit_s + TO_STOP_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        for each, handler in before.items():
            signal.signal(each, handler)


def check(sample: Sample, kind: Kind) -> None:
    """A kind that breaks its own word is a fault of the program."""
    for name, value in sample.metrics.items():
        if name not in kind.METRICS or not math.isfinite(value):
            raise ValueError(f"metric {name} = {value} is not among the kind's, or no number")


def run(experiment: Experiment, kind: Kind, parameters: BaseModel, path: Path) -> tuple[Result, bool]:
    """Measure, and keep each sample at `path` as it comes: the result, and whether a signal broke it off.

    Sizes are gone through once before any is repeated, so that what changes on the machine meets all alike.
    Raises what the kind raises, with the samples before it kept.
    """
    log = structlog.get_logger().bind(experiment=experiment.name, kind=experiment.kind)
    result = new_result(experiment, parameters, kind.METRICS)
    steps = [(repeat, size) for repeat in range(experiment.repeats) for size in experiment.sizes]
    progress = Progress(len(steps), experiment.time_limit_s)
    lab = Lab(experiment.time_limit_s, progress.tell)
    log.info("start", result=str(path), measurements=len(steps), time_limit_s=experiment.time_limit_s)
    broken_off = False
    with interruptible(lab, experiment.time_limit_s):
        try:
            with lab:
                for number, (repeat, size) in enumerate(steps, 1):
                    at = " ".join(f"{column}={value:g}" for column, value in size.items())
                    progress.begin(number, f"{at} repeat={repeat}")
                    seed = experiment.seed + repeat
                    for sample in kind.measure(parameters, size, seed, lab):
                        check(sample, kind)
                        with lab.shielded():
                            result.samples.append(measured(sample, dict(size), seed, repeat))
                            write_result(result, path)
                    if lab.expired() and number < len(steps):
                        raise TimeLimit
                with lab.shielded():
                    result.complete = True
                    write_result(result, path)
        except TimeLimit:
            log.warning("time limit", complete=result.complete, samples=len(result.samples))
        except KeyboardInterrupt:
            broken_off = not result.complete
            log.warning("interrupted", complete=result.complete, samples=len(result.samples))
        finally:
            progress.clear()
    log.info("end", complete=result.complete, samples=len(result.samples))
    return result, broken_off
