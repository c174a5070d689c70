"""Runs of floods beside clients with few requests: whether the latter get their answers in time.

`python -m tests.soak.flood_run` prints a table of all kinds of floods.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from functools import partial
from itertools import chain
from pathlib import Path

import click

from tests.soak.bystanders import Bystander, Summary, summarize
from tests.soak.checks import check_processes
from tests.soak.flood_processes import start_flood, stop_flood
from tests.soak.floods import FULL_SPEED_KINDS, FloodKind
from tests.soak.plan import Plan, draw_plan
from tests.soak.run import SoakRun

BYSTANDERS = 4  # clients with few requests, on kept and on new connections each
CACHE_COUNT = 9
FLOOD_LEAD = 0.3  # seconds between the start of the floods and that of the other clients
SETTLE_TIME = 0.3  # seconds after the floods in which the router may still log
SAMPLE_INTERVAL = 0.05  # seconds between two samples of the router's memory and scheduling
DELAY_SAMPLES = 10  # samples over which the time spent waiting for a core is summed
NANOSECONDS = 1e-9


@dataclass(slots=True, frozen=True)
class FloodResult:
    """What was seen in one run."""

    seed: int
    kinds: tuple[FloodKind, ...]
    kept: Summary  # clients that keep their connection
    new: Summary  # clients that open a connection for each request
    run_delay: float  # longest time for which the router waited for a core within half a second, in seconds
    lag: float  # largest lag of this process, in seconds
    processor_time: float  # of the router, in seconds
    memory: float  # largest resident memory of the router, in MB
    log_lines: int
    faults: tuple[str, ...]  # unexpected lines of the log, and a wrong exit status

    def __str__(self) -> str:
        kinds = "+".join(kind.value for kind in self.kinds) or "none"
        return (
            f"seed {self.seed} {kinds}:\n  kept: {self.kept}\n  new: {self.new}\n"
            f"  router: {self.processor_time:.1f} s of processor time, waited for a core up to "
            f"{self.run_delay * 1000:.0f} ms in half a second, {self.memory:.0f} MB, "
            f"{self.log_lines} log lines; lag here {self.lag * 1000:.0f} ms {' '.join(self.faults)}"
        )


def flood_plan(seed: int) -> Plan:
    """Return a plan without faults, whose settings are drawn from the seed."""
    plan = replace(draw_plan(seed, duration=1.0), cache_count=CACHE_COUNT, steps=[], clients=[])
    return replace(plan, descriptors=1024, idle_connections=0)


class FloodRun:
    """One run: the router's process, processes that flood it, and clients with few requests."""

    def __init__(self, seed: int, kinds: Sequence[FloodKind], seconds: float, folder: Path) -> None:
        """Create the peers, which start in `execute`."""
        self._seed = seed
        self._kinds = tuple(kinds)
        self._seconds = seconds
        self._soak = SoakRun(flood_plan(seed), folder)
        self._memory = 0.0
        self._core_waits: list[float] = []  # total waits for a core, in seconds, by sample
        self._bystanders = {reconnects: self._create_bystanders(reconnects) for reconnects in (False, True)}

    def _create_bystanders(self, reconnects: bool) -> list[Bystander]:
        prefix = "new" if reconnects else "kept"
        address = self._soak.network.router
        return [
            Bystander(f"{prefix}{n}", address, "read", self._seed + n, reconnects) for n in range(BYSTANDERS)
        ]

    async def execute(self) -> FloodResult:
        """Flood the router beside the other clients, and shut it down."""
        router = self._soak.router
        async with self._soak.running_peers() as background:
            await router.start()
            await router.wait_until_ready()
            background.append(asyncio.create_task(self._sample_process()))
            _, used_before = self._scheduler_times()
            address = self._soak.network.router
            floods = [await start_flood(kind, address, self._seed) for kind in self._kinds]
            await asyncio.sleep(FLOOD_LEAD)
            bystanders = chain.from_iterable(self._bystanders.values())
            await asyncio.gather(*(bystander.run(self._seconds) for bystander in bystanders))
            _, used = self._scheduler_times()
            for process in floods:
                await stop_flood(process)
            await asyncio.sleep(SETTLE_TIME)
            await router.terminate(self._soak.plan.sigkill_after)
        return self._result(used - used_before)

    def _result(self, processor_time: float) -> FloodResult:
        observations = self._soak.observations
        waits = self._core_waits
        run_delay = max((b - a for a, b in zip(waits, waits[DELAY_SAMPLES:], strict=False)), default=0.0)
        tolerance = run_delay + observations.max_lag
        return FloodResult(
            seed=self._seed,
            kinds=self._kinds,
            kept=summarize(self._bystanders[False], tolerance),
            new=summarize(self._bystanders[True], tolerance),
            run_delay=run_delay,
            lag=observations.max_lag,
            processor_time=processor_time,
            memory=self._memory,
            log_lines=len(observations.log),
            faults=tuple(check_processes(observations)),
        )

    def _scheduler_times(self) -> tuple[float, float]:
        """Return the seconds for which the router has waited for a core, and those of its processor time."""
        used, waited, _ = Path(f"/proc/{self._soak.router.process_id}/schedstat").read_text().split()
        return int(waited) * NANOSECONDS, int(used) * NANOSECONDS

    async def _sample_process(self) -> None:
        statm = Path(f"/proc/{self._soak.router.process_id}/statm")
        page = os.sysconf("SC_PAGE_SIZE")
        while True:
            self._memory = max(self._memory, int(statm.read_text().split()[1]) * page / 1e6)
            self._core_waits.append(self._scheduler_times()[0])
            await asyncio.sleep(SAMPLE_INTERVAL)


async def _run_flood(seed: int, kinds: Sequence[FloodKind], seconds: float) -> FloodResult:
    with tempfile.TemporaryDirectory() as folder:
        return await FloodRun(seed, kinds, seconds, Path(folder)).execute()


def run_flood(kinds: Sequence[FloodKind], seed: int, seconds: float) -> FloodResult:
    """Run floods of some kinds at once, in an event loop of their own."""
    return asyncio.run(_run_flood(seed, kinds, seconds))


@click.command()
@click.option("--seeds", default=1, show_default=True, help="number of seeds to run")
@click.option("--first", default=1, show_default=True, help="the first seed")
@click.option("--seconds", default=5.0, show_default=True, help="seconds of load")
@click.option("--jobs", default=1, show_default=True, help="number of runs in parallel")
@click.argument("kinds", nargs=-1, type=click.Choice([kind.value for kind in FloodKind]))
def main(*, seeds: int, first: int, seconds: float, jobs: int, kinds: tuple[str, ...]) -> None:
    """Run each of KINDS beside other clients, by default no flood and all that need processor time."""
    chosen = [[FloodKind(kind)] for kind in kinds] or [[], *([kind] for kind in FULL_SPEED_KINDS)]
    with ProcessPoolExecutor(jobs) as pool:
        for seed in range(first, first + seeds):
            for result in pool.map(partial(run_flood, seed=seed, seconds=seconds), chosen):
                print(result, flush=True)


if __name__ == "__main__":
    main()
