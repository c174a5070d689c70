"""Reference work: a fixed computation, whose CPU time shows how busy a machine is.

It makes results that were measured under different load comparable.
"""

from __future__ import annotations

import os
import statistics
import time
from collections.abc import Callable, Sequence

REFERENCE_METRIC = {
    "reference_cpu_s": "CPU seconds of a fixed computation, to compare results measured under different load"
}
MACHINE_METRICS = {
    **REFERENCE_METRIC,
    "load": "load average of this machine over the last minute, at the end of the sample",
}


def thread_cpu_s(work: Callable[..., object], *args: object) -> float:
    """Return the CPU seconds that a call takes in this thread."""
    started_at = time.thread_time()
    work(*args)
    return time.thread_time() - started_at


def measure_reference_cpu_s() -> float:
    """Return the CPU seconds to fill and sort a table of 100,000 numbers; a busy machine needs more."""
    numbers = [i * 2_654_435_761 % 2**32 for i in range(100_000)]
    return thread_cpu_s(lambda: sorted({number: (number, 0.5) for number in numbers}))


def machine_metrics(references: Sequence[float]) -> dict[str, float]:
    """Return the values of `MACHINE_METRICS`.

    `references` are the CPU seconds of each execution of the reference work in a sample.
    """
    return {"load": os.getloadavg()[0], "reference_cpu_s": statistics.fmean(references)}
