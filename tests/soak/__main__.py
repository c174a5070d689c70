"""Command line of the soak test.

Prints one line per seed. For a failed seed it also prints the command to repeat it, its events and its log.
"""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import click

from tests.soak.faults import FAULTS
from tests.soak.seeds import SeedOptions, soak_seed


@click.command()
@click.option("--seeds", default=10, show_default=True, help="number of seeds to run")
@click.option("--first", default=1, show_default=True, help="the first seed")
@click.option(
    "--seconds", default=15.0, show_default=True, help="seconds in which the steps of a seed are executed"
)
@click.option("--jobs", default=4, show_default=True, help="number of seeds run in parallel")
@click.option("--timing/--no-timing", default=True, help="check latencies; needs an otherwise idle machine")
@click.option(
    "--fault", default="", type=click.Choice(["", *FAULTS]), help="fault to reintroduce into the router"
)
@click.option("--floods/--no-floods", default=False, help="flood the router beside the other clients")
@click.option("--system-calls/--no-system-calls", default=False, help="let system calls of the router fail")
def main(
    *,
    seeds: int,
    first: int,
    seconds: float,
    jobs: int,
    timing: bool,
    fault: str,
    floods: bool,
    system_calls: bool,
) -> None:
    """Run the router's process under faults drawn from seeds, and check the observations of its peers."""
    passed = 0
    with ProcessPoolExecutor(jobs) as pool:
        options = SeedOptions(seconds, fault, timing, floods, system_calls)
        run_seed = partial(soak_seed, options=options)
        for result in pool.map(run_seed, range(first, first + seeds)):
            passed += not result.violations
            print(result.report, flush=True)
    print(f"{passed} of {seeds} seeds passed")
    sys.exit(passed < seeds)


if __name__ == "__main__":
    main()
