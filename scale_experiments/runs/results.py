"""Results of runs, which are stored as JSON and rewritten after each sample.

The alias of a field is its key in the file, if that differs from the field's name.
"""

from __future__ import annotations

import importlib.metadata
import os
import platform
import statistics
import subprocess
from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import orjson
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from scale_experiments.measurement.histograms import encode_histogram
from scale_experiments.runs.experiment import Budget, Experiment
from scale_experiments.runs.input_files import InputError, describe_validation_error
from scale_experiments.runs.sample import Sample

ROOT = Path(__file__).parents[2]
CPU_INFO = Path("/proc/cpuinfo")
# packages whose versions are stored in a result
PACKAGES = ("click", "h11", "hdrhistogram", "numpy", "orjson", "psutil", "pydantic", "structlog")
# uncommitted changes to these files make the revision of a result inexact, and are marked in it
MEASURED_FILES = ("cache_router", "scale_experiments/*.py")
CHANGES_SUFFIX = "+changes"  # suffix of a revision with uncommitted changes
GIT_TIMEOUT_S = 10.0
STORED_DIGITS = 6  # significant digits of stored metrics


class StoredSample(BaseModel):
    """One sample, with its size, its seed and the number of its repeat, which counts from 0."""

    model_config = ConfigDict(extra="forbid")

    size: dict[str, float | int]
    seed: int
    repeat: int
    metrics: dict[str, float]
    # HDR histograms of values in microseconds, as base64
    histograms: dict[str, str] = Field(default_factory=dict)


class Versions(BaseModel):
    """The versions of the measured program, of Python and of its packages, and the machine's processor."""

    python: str
    # revision in git, with CHANGES_SUFFIX if MEASURED_FILES differed from it
    revision: str = Field(alias="project")
    packages: dict[str, str]
    processor: str = ""


class Result(BaseModel):
    """One result file."""

    model_config = ConfigDict(extra="forbid")

    experiment: str
    scenario: str = Field(alias="kind")
    seed: int
    # ISO 8601, UTC
    started_at: str = Field(alias="started")
    # true once every repeat of every size has been measured
    complete: bool
    versions: Versions
    parameters: dict[str, Any]
    # description of each metric by name
    metric_descriptions: dict[str, str] = Field(alias="metrics")
    budgets: list[Budget]
    samples: list[StoredSample]

    def add_sample(self, sample: StoredSample) -> None:
        """Append a sample."""
        self.samples.append(sample)

    def mark_complete(self) -> None:
        """Record that every repeat of every size was measured."""
        self.complete = True

    def exceeded_budgets(self) -> list[str]:
        """Describe, one line each, the budgets that the median exceeds or whose sizes were not measured."""
        lines = (self._describe_excess(budget) for budget in self.budgets)
        return [line for line in lines if line is not None]

    def _describe_excess(self, budget: Budget) -> str | None:
        values = [
            sample.metrics[budget.metric]
            for sample in self.samples
            if budget.metric in sample.metrics and budget.applies_to(sample.size)
        ]
        sizes = ", ".join(f"{column} {value:g}" for column, value in budget.at.items()) or "all sizes"
        limit = f"at most {budget.most:g} allowed"
        if not values:
            return f"{budget.metric} at {sizes}: not measured, {limit}"
        median = statistics.median(values)
        return f"{budget.metric} at {sizes}: {median:.4g}, {limit}" if median > budget.most else None


def new_result(
    experiment: Experiment, parameters: BaseModel, metric_descriptions: Mapping[str, str]
) -> Result:
    """Create a result without samples."""
    return Result(
        experiment=experiment.name,
        kind=experiment.kind,
        seed=experiment.seed,
        started=datetime.now(UTC).isoformat(timespec="seconds"),
        complete=False,
        versions=current_versions(),
        parameters=parameters.model_dump(mode="json", by_alias=True),
        metrics=dict(metric_descriptions),
        budgets=experiment.budgets,
        samples=[],
    )


def current_versions() -> Versions:
    """Return the versions of this program, of Python and of the packages, and the machine's processor."""
    revision = _run_git("rev-parse", "HEAD") or "unknown"
    if _run_git("status", "--porcelain", "--untracked-files=no", "--", *MEASURED_FILES):
        revision += CHANGES_SUFFIX
    return Versions(
        python=platform.python_version(),
        project=revision,
        packages={name: importlib.metadata.version(name) for name in PACKAGES},
        processor=_describe_processor(),
    )


def _run_git(*args: str) -> str:
    """Return the output of a git command in the repository; empty if it fails or git is not installed."""
    try:
        completed = subprocess.run(
            ["git", *args], cwd=ROOT, capture_output=True, text=True, timeout=GIT_TIMEOUT_S, check=True
        )
    except (OSError, subprocess.SubprocessError):
        return ""
    return completed.stdout.strip()


def _describe_processor() -> str:
    """Return the number of cores and the processor's name.

    CPU seconds are comparable only between runs on the same processor.
    """
    names = [
        line.partition(":")[2].strip()
        for line in CPU_INFO.read_text().splitlines()
        if line.startswith("model name")
    ]
    return f"{os.cpu_count()} x {names[0] if names else platform.machine()}"


def stored_sample(sample: Sample, size: Mapping[str, float | int], seed: int, repeat: int) -> StoredSample:
    """Convert a sample to its stored form, with metrics rounded to STORED_DIGITS."""
    return StoredSample(
        size=dict(size),
        seed=seed,
        repeat=repeat,
        metrics={name: float(f"{value:.{STORED_DIGITS}g}") for name, value in sample.metrics.items()},
        histograms={name: encode_histogram(histogram) for name, histogram in sample.histograms.items()},
    )


def write_result(result: Result, path: Path) -> None:
    """Replace the file atomically, so that no reader sees a partial result; raises OSError."""
    text = orjson.dumps(
        result.model_dump(mode="json", by_alias=True), option=orjson.OPT_INDENT_2 | orjson.OPT_APPEND_NEWLINE
    )
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary_path = path.with_name(path.name + ".tmp")
    try:
        temporary_path.write_bytes(text)
        temporary_path.replace(path)
    finally:
        temporary_path.unlink(missing_ok=True)


def load_result(path: Path) -> Result:
    """Read and check a result file; raises InputError, which names the file and the field."""
    try:
        return Result.model_validate(orjson.loads(path.read_bytes()))
    except OSError as e:
        raise InputError(f"{path}: file: {e.strerror or e}") from e
    except orjson.JSONDecodeError as e:
        raise InputError(f"{path}: file: must be JSON: {e}") from e
    except ValidationError as e:
        raise InputError(describe_validation_error(path, e)) from e
