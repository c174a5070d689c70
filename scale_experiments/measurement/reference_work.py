"""A fixed piece of work whose CPU time shows how busy a machine is, so that results can be compared."""

from __future__ import annotations

import os
import statistics
import time
from collections.abc import Callable, Sequence

REFERENCE_METRIC = {
    "reference_cpu_s": "CPU seconds of a fixed piece of work, by which to compare differently busy machines"
}
MACHINE_METRICS = {
    **REFERENCE_METRIC,
    "load": "processes that wanted a core of this machine in the last minute, at the end of the sample",
}


def thread_cpu_s(work: Callable[..., object], *args: object) -> float:
    """CPU seconds of this thread that a call takes."""
    started_at = time.thread_time()
    work(*args)
    return time.thread_time() - started_at


def measure_reference_cpu_s() -> float:
    """CPU seconds to fill and sort a table of 100,000 numbers; a busy machine needs more."""
    numbers = [i * 2_654_435_761 % 2**32 for i in range(100_000)]
    return thread_cpu_s(lambda: sorted({number: (number, 0.5) for number in numbers}))


def machine_metrics(references: Sequence[float]) -> dict[str, float]:
    """The values of `MACHINE_METRICS`; `references` are the CPU seconds of the reference work in a sample."""
    return {"load": os.getloadavg()[0], "reference_cpu_s": statistics.fmean(references)}
