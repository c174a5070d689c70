"""The command line of the scale experiments."""

from __future__ import annotations

import sys
from importlib import import_module
from pathlib import Path

import click
import structlog
from pydantic import BaseModel

from scale_experiments.commands.exit_status import ExitStatus
from scale_experiments.runs import log
from scale_experiments.runs.experiment import InputError, load_experiment
from scale_experiments.runs.runner import RunOutcome
from scale_experiments.runs.runner import run as run_experiment
from scale_experiments.scenarios.registry import SCENARIOS

RESULTS = Path(__file__).parent / "results"
NAME_WIDTH = 22  # characters of the first column of lists

RUN_STATUSES = """\b
Exit status:
  0    everything was measured, and every budget is kept
  1    a budget is exceeded, or the time limit came before everything was measured
  2    bad input: one line on standard error names the file and the field
  3    a measurement failed: the log says how
  130  Ctrl-C or SIGTERM: the samples until then are kept
"""
KINDS_STATUSES = """\b
Exit status:
  0  the list was printed
  2  KIND is no scenario: one line on standard error names all
"""
FIT_STATUSES = """\b
Exit status:
  0  all fits were printed
  2  bad input: one line on standard error names the file and the field
"""
REPORT_STATUSES = """\b
Exit status:
  0  the tables were written, or --check found no difference
  1  --check found a difference: one line on standard error names the first
  2  bad input: one line on standard error names the file and the field
"""


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli() -> None:
    """Measure what routers, and the services around them, cost as the fleet grows.

    An experiment is a TOML file that names a scenario (a kind of measurement), its parameters and the fleet
    sizes. `run` measures each size and keeps the result; `fit` and `report` work out what that means for
    larger fleets.

    \b
    python -m scale_experiments kinds
        list the scenarios
    python -m scale_experiments run scale_experiments/experiments/list-change.toml
        measure, and keep the result
    python -m scale_experiments fit scale_experiments/results/list-change.json
        print how each metric of a result grows with the fleet
    python -m scale_experiments report
        write the tables of docs/CAPACITY.md

    Servers and routers are started on this machine and use its loopback only. The log goes to standard
    error, one JSON object a line. `COMMAND --help` tells the options and exit statuses of a command.
    """
    log.configure()


@cli.command(epilog=RUN_STATUSES, short_help="Measure an experiment, and keep its result.")
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=RESULTS,
    help="Folder of the result, made if absent; by default scale_experiments/results.",
)
@click.option(
    "--label", default="", help="Keep the result as NAME.LABEL.json, such as a trial; by default NAME.json."
)
def run(experiment: Path, out: Path, label: str) -> None:
    """Run EXPERIMENT, a TOML file, and keep its result as OUT/NAME.json.

    \b
    name = "list-change"      # the name of the file, without .toml
    kind = "list_change"      # the scenario: see `python -m scale_experiments kinds`
    seed = 1                  # of the first repeat; each further one adds 1
    repeats = 3               # how often each size is measured; 1 by default
    time_limit_s = 600        # of the whole run
    [parameters]              # of the scenario: see `python -m scale_experiments kinds list_change`
    changes = 8
    [[sizes]]                 # one or more; their columns depend on the scenario
    caches = 200
    changes_per_s = 0.4
    [[budgets]]               # any number: limits of the median over repeats
    metric = "core_share"
    most = 0.002
    at = { caches = 200 }     # the sizes that it holds for; all by default

    The result is written after each sample. Ctrl-C ends the run and all processes that it has started. What
    was measured until then, or until the time limit, is kept with "complete": false.
    """
    checked = load_experiment(experiment, SCENARIOS)
    name = checked.experiment.name
    if label and not label.replace("-", "").isalnum():
        raise InputError(f"{experiment}: --label: must be of letters, digits and -, not {label!r}")
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as e:
        raise InputError(f"{out}: --out: must be a folder that can be made: {e.strerror or e}") from e
    path = out / f"{name}{'.' if label else ''}{label}.json"
    try:
        outcome = run_experiment(checked, path)
    except InputError:  # bad input that only a measurement could find
        raise
    except Exception:
        structlog.get_logger().exception("measurement failed", experiment=name)
        sys.exit(ExitStatus.MEASUREMENT_FAILED)
    sys.exit(_report_outcome(outcome, path))


def _report_outcome(outcome: RunOutcome, path: Path) -> ExitStatus:
    """Print what a run has measured and which budgets it exceeds; returns the exit status."""
    result = outcome.result
    click.echo(f"{path}: {len(result.samples)} samples, {'complete' if result.complete else 'not complete'}")
    if outcome.interrupted:
        return ExitStatus.INTERRUPTED
    exceeded = result.exceeded_budgets()
    for line in exceeded:
        click.echo(f"budget broken: {line}")
    return ExitStatus.SUCCESS if result.complete and not exceeded else ExitStatus.CHECK_FAILED


@cli.command(epilog=KINDS_STATUSES, short_help="List the scenarios that an experiment can name.")
@click.argument("kind", required=False)
def kinds(kind: str | None) -> None:
    """List the scenarios; with KIND, print what one of them measures.

    That is its description, its parameters with their defaults, the columns of its sizes, and its metrics.
    """
    if kind is None:
        for name, scenario in SCENARIOS.items():
            summary, _, _ = scenario.description.partition("\n")
            click.echo(f"{name:{NAME_WIDTH}}{summary}")
        return
    if kind not in SCENARIOS:
        raise InputError(f"kinds: KIND: must be one of {', '.join(SCENARIOS)}, not {kind!r}")
    scenario = SCENARIOS[kind]
    click.echo(scenario.description.strip())
    click.echo("\n[parameters]")
    _print_fields(scenario.parameters)
    click.echo("\n[[sizes]]")
    _print_fields(scenario.size)
    click.echo("\nMetrics")
    for name, description in scenario.metric_descriptions.items():
        click.echo(f"  {name:{NAME_WIDTH}}{description}")


def _print_fields(model: type[BaseModel]) -> None:
    """Print each key of a table, with its meaning and its default."""
    for name, field in model.model_fields.items():
        default = "must be given"
        if not field.is_required():
            default = repr(field.get_default(call_default_factory=True))
        click.echo(f"  {field.alias or name:{NAME_WIDTH}}{field.description or ''} ({default})")


@cli.command(epilog=FIT_STATUSES, short_help="Print how the metrics of results grow with the fleet.")
@click.argument("results", nargs=-1, required=True, type=click.Path(path_type=Path))
def fit(results: tuple[Path, ...]) -> None:
    """Print how each metric of RESULTS, files that `run` has kept, grows with the fleet.

    Several forms (constant, linear, product, power) are fitted to each metric by least squares, with their
    standard errors. The best is marked with * and followed by its value at the size of target.toml.
    """
    # imported here, as numpy takes long to import and the other commands don't need it
    sys.exit(import_module("scale_experiments.commands.fit").main(list(results)))


@cli.command(epilog=REPORT_STATUSES, short_help="Write or check the tables of docs/CAPACITY.md.")
@click.option("--check", is_flag=True, help="Write nothing; fail if the page differs from the results.")
def report(check: bool) -> None:
    """Write the tables of docs/CAPACITY.md from the kept results and scale_experiments/capacity.toml."""
    # imported here for the same reason
    sys.exit(import_module("scale_experiments.commands.report").main(check))


def main() -> None:
    """Run the command line; bad input ends it with one line on standard error."""
    try:
        status = cli.main(standalone_mode=False)
    except click.ClickException as e:
        e.show()
        status = e.exit_code
    except click.Abort:
        status = ExitStatus.INTERRUPTED
    except InputError as e:
        click.echo(str(e), err=True)
        status = ExitStatus.BAD_INPUT
    sys.exit(status)


if __name__ == "__main__":
    main()
