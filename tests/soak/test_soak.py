"""A short soak of fixed seeds, and faults that are put back, which it must find.

The checks of how soon the router does something are left out: beside load they would measure the machine.
The fault `timers` is not among those of this test either, as the pause between two polls is observed late
on such a machine. Both are part of `make soak`.
"""

from __future__ import annotations

import asyncio
import sys

import pytest

SEEDS = 6
SECONDS = 8
TIME_LIMIT = 180.0  # seconds, of a busy machine
EXPECTED_VIOLATIONS = {
    "overflow": "log: ",
    "signals": "process: ended with status",
    "drain": "drain: ",
}  # by fault


async def soak(*options: str) -> tuple[int, str]:
    """Run the soak; returns its exit status and its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.soak",
        "--no-timing",
        f"--seconds={SECONDS}",
        *options,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    assert process.returncode is not None
    return process.returncode, output.decode()


@pytest.mark.time_limit(TIME_LIMIT)
async def test_fixed_seeds_pass() -> None:
    status, output = await soak(f"--seeds={SEEDS}", "--first=1", "--jobs=3")
    assert status == 0, output


@pytest.mark.time_limit(TIME_LIMIT)
async def test_faults_that_are_put_back_are_found() -> None:
    results = await asyncio.gather(
        *(soak("--seeds=1", "--first=1", f"--fault={fault}") for fault in EXPECTED_VIOLATIONS)
    )
    for (fault, prefix), (status, output) in zip(EXPECTED_VIOLATIONS.items(), results, strict=True):
        assert status == 1, f"{fault}: {output}"
        assert f"  {prefix}" in output, f"{fault}: {output}"
