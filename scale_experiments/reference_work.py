"""A fixed piece of work, by whose processor time differently busy machines can be compared."""

from __future__ import annotations

import time
from collections.abc import Callable


def thread_cpu_s(work: Callable[..., object], *args: object) -> float:
    """CPU seconds of this thread that a call takes."""
    started_at = time.thread_time()
    work(*args)
    return time.thread_time() - started_at


def measure_reference_cpu_s() -> float:
    """CPU seconds of a table of 100,000 numbers, filled and sorted: a busy machine makes all work slower."""
    numbers = [i * 2_654_435_761 % 2**32 for i in range(100_000)]
    return thread_cpu_s(lambda: sorted({number: (number, 0.5) for number in numbers}))
