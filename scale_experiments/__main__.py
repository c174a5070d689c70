"""The command line of the scale experiments."""

from __future__ import annotations

import sys
from importlib import import_module
from pathlib import Path

import click
import structlog
from pydantic import BaseModel

from scale_experiments import log
from scale_experiments.experiment import InputError, kind_named, kind_names, load_experiment, size_schema
from scale_experiments.runner import run as run_experiment

KEPT, BROKEN, BAD_INPUT, FAILED, INTERRUPTED = 0, 1, 2, 3, 130
RESULTS = Path(__file__).parent / "results"

STATUSES = """\b
Exit status:
  0    measured, and every budget is kept
  1    a budget is broken, or the time limit came before all was measured
  2    bad input: one line names the file and the field
  3    a measurement failed; the log says how
  130  Ctrl-C or SIGTERM; what was measured until then is kept
"""


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
def cli() -> None:
    """Measure what routers, and what surrounds them, cost at growing sizes.

    \b
    python -m scale_experiments kinds
        what can be measured
    python -m scale_experiments run scale_experiments/experiments/list-change.toml
        measure, and keep the result
    python -m scale_experiments fit scale_experiments/results/list-change.json
        slopes of a result, with errors
    python -m scale_experiments report
        write the tables of docs/CAPACITY.md

    Everything stays on this machine's loopback. The log goes to standard error, a JSON object a line.
    """
    log.configure()


@cli.command(epilog=STATUSES)
@click.argument("experiment", type=click.Path(path_type=Path))
@click.option(
    "--out",
    type=click.Path(path_type=Path, file_okay=False),
    default=RESULTS,
    help="Folder of the result; scale_experiments/results unless given.",
)
@click.option("--label", default="", help="Keep the result as NAME.LABEL.json: a trial, or `before`.")
def run(experiment: Path, out: Path, label: str) -> None:
    """Run EXPERIMENT, a TOML file, and keep its result as OUT/NAME.json.

    \b
    name = "list-change"      # the file's name, without .toml
    kind = "list_change"      # what is measured: see `python -m scale_experiments kinds`
    seed = 1                  # of the first repeat; the next takes 2
    repeats = 3
    time_limit_s = 600        # of the whole run
    [parameters]              # of the kind
    changes = 8
    [[sizes]]                 # one or more; their columns depend on the kind
    caches = 200
    changes_per_s = 0.4
    [[budgets]]               # any number; of the median over repeats
    metric = "core_share"
    most = 0.002
    at = { caches = 200 }

    The result is written after each sample. Ctrl-C ends the run and all that it has started; what was
    measured until then, or until the time limit, is kept with "complete": false.
    """
    checked, kind, parameters = load_experiment(experiment)
    if label and not label.replace("-", "").isalnum():
        raise InputError(f"{experiment}: --label: letters, digits and - only, not {label!r}")
    try:
        out.mkdir(parents=True, exist_ok=True)
    except OSError as e:
        raise InputError(f"{out}: --out: {e.strerror or e}") from e
    path = out / f"{checked.name}{'.' if label else ''}{label}.json"
    try:
        result, broken_off = run_experiment(checked, kind, parameters, path)
    except InputError:  # that only measuring could find
        raise
    except Exception:
        structlog.get_logger().exception("measurement failed", experiment=checked.name)
        sys.exit(FAILED)
    click.echo(f"{path}: {len(result.samples)} samples, {'complete' if result.complete else 'not complete'}")
    if broken_off:
        sys.exit(INTERRUPTED)
    broken = result.broken_budgets()
    for line in broken:
        click.echo(f"budget broken: {line}")
    sys.exit(KEPT if result.complete and not broken else BROKEN)


@cli.command()
@click.argument("kind", required=False)
def kinds(kind: str | None) -> None:
    """List what can be measured; with KIND its parameters, columns of sizes and metrics."""
    if kind is None:
        for name in kind_names():
            click.echo(f"{name:22}{(kind_named(name).__doc__ or '').partition(chr(10))[0]}")
        return
    if kind not in kind_names():
        raise InputError(f"kinds: KIND: must be one of {', '.join(kind_names())}, not {kind!r}")
    module = kind_named(kind)
    click.echo((module.__doc__ or "").strip())
    click.echo("\n[parameters]")
    _fields(module.Parameters)
    if (size := size_schema(module)) is not None:
        click.echo("\n[[sizes]]")
        _fields(size)
    click.echo("\nMetrics")
    for name, meaning in module.METRICS.items():
        click.echo(f"  {name:22}{meaning}")


def _fields(model: type[BaseModel]) -> None:
    for name, field in model.model_fields.items():
        default = (
            "must be given" if field.is_required() else f"{field.get_default(call_default_factory=True)!r}"
        )
        click.echo(f"  {name:22}{field.description or ''} ({default})")


@cli.command(epilog="Exit status: 0, or 2 for bad input, with one line that names the file and the field.")
@click.argument("results", nargs=-1, required=True, type=click.Path(path_type=Path))
def fit(results: tuple[Path, ...]) -> None:
    """Fit slopes, with their errors, to the samples of RESULTS, files that `run` has kept."""
    sys.exit(import_module("scale_experiments.fit").main(list(results)))


@cli.command(
    epilog="Exit status: 0, 1 where --check finds a difference, 2 for bad input, with one line that names it."
)
@click.option("--check", is_flag=True, help="Write nothing; fail where page and results differ.")
def report(check: bool) -> None:
    """Write the tables of docs/CAPACITY.md from the kept results."""
    sys.exit(import_module("scale_experiments.report").main(check))


def main() -> None:
    """The program; bad input ends it with one line."""
    try:
        status = cli.main(standalone_mode=False)
    except click.ClickException as e:
        e.show()
        status = e.exit_code
    except click.Abort:
        status = INTERRUPTED
    except InputError as e:
        click.echo(str(e), err=True)
        status = BAD_INPUT
    sys.exit(status)


if __name__ == "__main__":
    main()
