"""Runs of single seeds, and the reports on them."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from tests.soak.checks import find_violations, rerun_command, summary
from tests.soak.plan import draw_plan
from tests.soak.run import SoakRun

MAX_SHOWN = 12  # maximum number of violations, and of log lines, in the report on a failure


@dataclass(slots=True, frozen=True)
class SeedResult:
    """Result of the run of one seed."""

    violations: list[str]
    report: str


def soak_seed(seed: int, seconds: float, fault: str = "", with_timing: bool = True) -> SeedResult:
    """Run one seed in an event loop of its own."""
    return asyncio.run(_soak_seed(seed, seconds, fault, with_timing))


async def _soak_seed(seed: int, seconds: float, fault: str, with_timing: bool) -> SeedResult:
    with tempfile.TemporaryDirectory() as folder:
        run = SoakRun(draw_plan(seed, seconds), Path(folder), fault)
        await run.execute()
    found = find_violations(run, with_timing)
    lines = [summary(run, found)]
    if found:
        lines.append(f"  repeat with: {rerun_command(run)}")
        lines += [f"  {violation}" for violation in found[:MAX_SHOWN]]
        lines += [f"  ({len(found)} violations)"]
        lines += [f"  event {event}" for event in run.observations.events]
        lines += [f"  log {line[:200]}" for line in run.observations.log[-MAX_SHOWN:]]
    return SeedResult(found, "\n".join(lines))
