"""CPU seconds of other processes, finer than the kernel's ticks of 10 ms."""

from __future__ import annotations

import ctypes
import os
import time

LIBC = ctypes.CDLL(None, use_errno=True)


def process_cpu_s(process: int) -> float:
    """CPU seconds of a process, all threads, user and system; raises OSError where there is none.


    By POSIX `clock_getcpuclockid`; the resolution is the scheduler's, well under a microsecond.
    """
    clock = ctypes.c_int()
    error = LIBC.clock_getcpuclockid(ctypes.c_int(process), ctypes.byref(clock))
    if error:
        raise OSError(error, os.strerror(error), f"process {process}")
    return time.clock_gettime(clock.value)
