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


@dataclass(slots=True, frozen=True)
class SeedOptions:
    """How a seed is run."""

    seconds: float  # time in which its steps are executed
    fault: str = ""  # fault to reintroduce into the router, or empty
    with_timing: bool = True  # whether latencies are checked
    with_floods: bool = False  # whether clients flood the router
    with_system_call_faults: bool = False  # whether the router's system calls fail at times


def soak_seed(seed: int, options: SeedOptions) -> SeedResult:
    """Run one seed in an event loop of its own."""
    return asyncio.run(_soak_seed(seed, options))


async def _soak_seed(seed: int, options: SeedOptions) -> SeedResult:
    with tempfile.TemporaryDirectory() as folder:
        plan = draw_plan(seed, options.seconds, options.with_floods)
        plan.with_system_call_faults = options.with_system_call_faults
        run = SoakRun(plan, Path(folder), options.fault)
        await run.execute()
    found = find_violations(run, options.with_timing)
    lines = [summary(run, found)]
    if found:
        lines.append(f"  repeat with: {rerun_command(run)}")
        lines += [f"  {violation}" for violation in found[:MAX_SHOWN]]
        lines += [f"  ({len(found)} violations)"]
        lines += [f"  {flood}" for flood in run.plan.floods]
        lines += [f"  event {event}" for event in run.observations.events]
        lines += [f"  log {line[:200]}" for line in run.observations.log[-MAX_SHOWN:]]
    return SeedResult(found, "\n".join(lines))
