"""Results: what a run measured, as JSON, written anew and whole after each sample."""

from __future__ import annotations

import importlib.metadata
import os
import platform
import statistics
import subprocess
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from scale_experiments.context import Sample
from scale_experiments.experiment import Budget, Experiment, InputError, fault

ROOT = Path(__file__).parent.parent
PACKAGES = ("click", "h11", "hdrhistogram", "numpy", "orjson", "psutil", "pydantic", "structlog")


class Measured(BaseModel):
    """One sample."""

    model_config = ConfigDict(extra="forbid")

    size: dict[str, float | int]
    seed: int
    repeat: int
    metrics: dict[str, float]
    histograms: dict[str, str] = Field(default_factory=dict)  # HDR, base64; microseconds


class Versions(BaseModel):
    """What was measured, on what."""

    python: str
    project: str  # git revision, with `+changes` where files differed from it
    packages: dict[str, str]
    processor: str = ""


class Result(BaseModel):
    """One result file."""

    model_config = ConfigDict(extra="forbid")

    experiment: str
    kind: str
    seed: int
    started: str  # ISO 8601, UTC
    complete: bool  # whether each size was measured as often as the experiment says
    versions: Versions
    parameters: dict[str, Any]
    metrics: dict[str, str]  # their meanings, with units
    budgets: list[Budget]
    samples: list[Measured]

    def broken_budgets(self) -> list[str]:
        """A line for each budget that the median breaks, or for which a size was not measured."""
        broken = []
        for budget in self.budgets:
            values = [
                s.metrics[budget.metric]
                for s in self.samples
                if budget.metric in s.metrics and budget.holds_at(s.size)
            ]
            at = ", ".join(f"{column} {value:g}" for column, value in budget.at.items()) or "all sizes"
            if not values:
                broken.append(f"{budget.metric} at {at}: not measured, at most {budget.most:g} allowed")
            elif (median := statistics.median(values)) > budget.most:
                broken.append(f"{budget.metric} at {at}: {median:.4g}, at most {budget.most:g} allowed")
        return broken


def git(*args: str) -> str:
    """What git says of the project; nothing where it can't."""
    try:
        done = subprocess.run(
            ["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=10.0, check=True
        )
    except (OSError, subprocess.SubprocessError):
        return ""
    return done.stdout.strip()


def processor() -> str:
    """The processor's name and how many of its cores there are, as CPU seconds are its own."""
    names = [
        line.partition(":")[2].strip()
        for line in Path("/proc/cpuinfo").read_text().splitlines()
        if line.startswith("model name")
    ]
    return f"{os.cpu_count()} x {names[0] if names else platform.machine()}"


def versions() -> Versions:
    """Of this program, its interpreter and packages, and the machine."""
    revision = git("rev-parse", "HEAD") or "unknown"
    if git("status", "--porcelain", "--untracked-files=no", "--", "cache_router", "scale_experiments/*.py"):
        revision += "+changes"
    return Versions(
        python=platform.python_version(),
        project=revision,
        packages={name: importlib.metadata.version(name) for name in PACKAGES},
        processor=processor(),
    )


def new_result(experiment: Experiment, parameters: BaseModel, metrics: dict[str, str]) -> Result:
    """A result without samples yet."""
    return Result(
        experiment=experiment.name,
        kind=experiment.kind,
        seed=experiment.seed,
        started=datetime.now(UTC).isoformat(timespec="seconds"),
        complete=False,
        versions=versions(),
        parameters=parameters.model_dump(mode="json"),
        metrics=metrics,
        budgets=experiment.budgets,
        samples=[],
    )


def measured(sample: Sample, size: dict[str, float | int], seed: int, repeat: int) -> Measured:
    """A sample as it is kept, figures to six digits."""
    return Measured(
        size=size,
        seed=seed,
        repeat=repeat,
        metrics={name: float(f"{value:.6g}") for name, value in sample.metrics.items()},
        histograms={name: encode(histogram) for name, histogram in sample.histograms.items()},
    )


def encode(histogram: HdrHistogram) -> str:
    """A histogram in HDR's own form, base64."""
    return bytes(histogram.encode()).decode("ascii")


def decode(text: str) -> HdrHistogram:
    """A kept histogram."""
    return HdrHistogram.decode(text)


def write_result(result: Result, path: Path) -> None:
    """Replace the file in one step, so that it is always whole."""
    text = orjson.dumps(
        result.model_dump(mode="json"), option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(path.name + ".tmp")
    try:
        temporary.write_bytes(text)
        os.replace(temporary, path)
    finally:
        temporary.unlink(missing_ok=True)


def load_result(path: Path) -> Result:
    """A result file, checked; raises InputError."""
    try:
        return Result.model_validate(orjson.loads(path.read_bytes()))
    except OSError as e:
        raise InputError(f"{path}: file: {e.strerror or e}") from e
    except orjson.JSONDecodeError as e:
        raise InputError(f"{path}: file: is not JSON: {e}") from e
    except ValidationError as e:
        raise InputError(fault(path, e)) from e
