"""The command line of the scale experiments."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from importlib import import_module
from pathlib import Path

import click
import structlog
from pydantic import BaseModel

from scale_experiments.commands.exit_status import ExitStatus
from scale_experiments.runs import log
from scale_experiments.runs.experiment import load_experiment
from scale_experiments.runs.input_files import InputError
from scale_experiments.runs.runner import RunOutcome
from scale_experiments.runs.runner import run as run_experiment
from scale_experiments.scenarios.registry import SCENARIOS

RESULTS = Path(__file__).parent / "results"

RUN_STATUSES = """\b
Exit status:
  0    every size was measured, and no budget is exceeded
  1    a budget is exceeded, or the time limit passed before every size was measured
  2    invalid input: one line on standard error names the file and the field
  3    a measurement failed: the log has the error
  130  Ctrl-C or SIGTERM: the samples measured before it are kept
"""
KINDS_STATUSES = """\b
Exit status:
  0  the list was printed
  2  KIND is not a scenario: one line on standard error lists the scenarios
"""
FIT_STATUSES = """\b
Exit status:
  0  all fits were printed
  2  invalid input: one line on standard error names the file and the field
"""
REPORT_STATUSES = """\b
Exit status:
  0  the tables were written, or --check found no difference
  1  --check found a difference: one line on standard error describes the first
  2  invalid input: one line on standard error names the file and the field
"""


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli() -> None:
    """Measure the cost of routers, and of the services around them, as the fleet grows.

    An experiment is a TOML file that states a scenario (a kind of measurement), its parameters and the sizes
    of the fleet. `run` measures each size and writes a result file. `fit` extrapolates the metrics of a
    result to larger fleets, and `report` writes the tables of docs/CAPACITY.md from the results in
    scale_experiments/results.

    \b
    Start with the smallest experiment, which takes a few seconds:
      python -m scale_experiments kinds
          list the scenarios
      python -m scale_experiments kinds list_change
          describe a scenario: its parameters, sizes and metrics
      python -m scale_experiments run scale_experiments/experiments/small.toml --out /tmp
          measure, and write /tmp/small.json
      python -m scale_experiments fit /tmp/small.json
          print how each metric of the result grows with the fleet
      python -m scale_experiments report --check
          compare docs/CAPACITY.md with the results in the repository

    Servers and routers are started on this machine and use its loopback interface only. The log is written
    to standard error, one JSON object per line. `COMMAND --help` lists the options and exit statuses of a
    command.
    """
    log.configure()


@cli.command(epilog=RUN_STATUSES, short_help="Run an experiment, and write its result.")
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=RESULTS,
    help="Folder of the result file, created if absent; by default scale_experiments/results.",
)
@click.option(
    "--label",
    default="",
    help="Write the result to NAME.LABEL.json instead of NAME.json, for example for a trial.",
)
def run(experiment: Path, out: Path, label: str) -> None:
    """Run EXPERIMENT, a TOML file, and write its result to OUT/NAME.json.

    \b
    name = "list-change"      # name of the file, without .toml
    kind = "list_change"      # scenario: see `python -m scale_experiments kinds`
    seed = 1                  # seed of the first repeat; each further repeat adds 1
    repeats = 3               # number of measurements of each size; 1 by default
    time_limit_s = 600        # time limit of the complete run, in seconds
    [parameters]              # scenario's parameters: see `python -m scale_experiments kinds list_change`
    changes = 8
    [[sizes]]                 # one or more sizes; the scenario defines their columns
    caches = 200
    changes_per_s = 0.4
    [[budgets]]               # optional limits of the median of a metric over the repeats
    metric = "core_share"
    most = 0.002
    at = { caches = 200 }     # sizes to which the budget applies; all by default

    The result is written after each sample. Ctrl-C ends the run and terminates all processes that it has
    started. The result of a run that was ended by Ctrl-C or by the time limit has the samples measured
    before, and "complete": false.
    """
    checked = load_experiment(experiment, SCENARIOS)
    name = checked.experiment.name
    if label and not label.replace("-", "").isalnum():
        raise InputError(f"{experiment}: --label: must consist of letters, digits and -, not {label!r}")
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as e:
        raise InputError(f"{out}: --out: must be a folder that can be created: {e.strerror or e}") from e
    path = out / f"{name}{'.' if label else ''}{label}.json"
    try:
        outcome = run_experiment(checked, path)
    except InputError:  # invalid input that only the measurement detects
        raise
    except Exception:
        structlog.get_logger().exception("measurement failed", experiment=name)
        sys.exit(ExitStatus.MEASUREMENT_FAILED)
    sys.exit(_report_outcome(outcome, path))


def _report_outcome(outcome: RunOutcome, path: Path) -> ExitStatus:
    """Print the number of samples and the exceeded budgets, and return the exit status."""
    result = outcome.result
    click.echo(f"{path}: {len(result.samples)} samples, {'complete' if result.complete else 'incomplete'}")
    if outcome.interrupted:
        return ExitStatus.INTERRUPTED
    exceeded = result.exceeded_budgets()
    for line in exceeded:
        click.echo(f"budget exceeded: {line}")
    return ExitStatus.SUCCESS if result.complete and not exceeded else ExitStatus.CHECK_FAILED


@cli.command(epilog=KINDS_STATUSES, short_help="List the scenarios that an experiment can name.")
@click.argument("kind", required=False)
def kinds(kind: str | None) -> None:
    """List the scenarios, or describe the scenario KIND.

    The description of a scenario lists its parameters and the columns of its sizes, with their defaults,
    and its metrics.
    """
    if kind is None:
        _print_columns(
            [(name, scenario.description.partition("\n")[0]) for name, scenario in SCENARIOS.items()]
        )
        return
    if kind not in SCENARIOS:
        raise InputError(f"kinds: KIND: must be one of {', '.join(SCENARIOS)}, not {kind!r}")
    scenario = SCENARIOS[kind]
    click.echo(scenario.description.strip())
    click.echo("\n[parameters]")
    _print_columns(_describe_keys(scenario.parameters))
    click.echo("\n[[sizes]]")
    _print_columns(_describe_keys(scenario.size))
    click.echo("\nMetrics")
    _print_columns(list(scenario.metric_descriptions.items()))


def _describe_keys(table: type[BaseModel]) -> list[tuple[str, str]]:
    """Return the keys of a table, each with its description and default."""
    keys = []
    for name, field in table.model_fields.items():
        default = "required"
        if not field.is_required():
            default = f"default {field.get_default(call_default_factory=True)!r}"
        keys.append((field.alias or name, f"{field.description or ''} ({default})"))
    return keys


def _print_columns(rows: Sequence[tuple[str, str]]) -> None:
    """Print names and their descriptions in two columns."""
    width = max((len(name) for name, _ in rows), default=0)
    for name, description in rows:
        click.echo(f"  {name:{width}}  {description}")


@cli.command(epilog=FIT_STATUSES, short_help="Print how the metrics of results grow with the fleet.")
@click.argument("results", nargs=-1, required=True, type=click.Path(path_type=Path))
def fit(results: tuple[Path, ...]) -> None:
    """Print how each metric of RESULTS, files that `run` has written, grows with the fleet.

    Several forms (constant, linear, product, power) are fitted to each metric by least squares, and printed
    with their standard errors. The best is marked with * and followed by its predictions
    for the fleet of target.toml and for one that is 1.5 times as large.
    """
    # imported here, because numpy takes long to import and the other commands don't need it
    sys.exit(import_module("scale_experiments.commands.fit").main(list(results)))


@cli.command(epilog=REPORT_STATUSES, short_help="Write or check the tables of docs/CAPACITY.md.")
@click.option(
    "--check", is_flag=True, help="Write nothing; exit with status 1 if the page differs from the results."
)
def report(check: bool) -> None:
    """Write the tables of docs/CAPACITY.md.

    They are computed from the results in scale_experiments/results and from scale_experiments/capacity.toml.
    """
    # imported here for the same reason as in `fit`
    sys.exit(import_module("scale_experiments.commands.report").main(check))


def main() -> None:
    """Run the command line, and report invalid input in one line on standard error."""
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
