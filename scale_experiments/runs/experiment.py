"""Experiment files: their schema, and how they are read and checked.

An experiment is a TOML file. It states what to measure (`kind`, `[parameters]`), at which sizes of the fleet
(`[[sizes]]`), how often, and the limits that the metrics must not exceed (`[[budgets]]`).
"""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    PlainValidator,
    StrictInt,
    StringConstraints,
    ValidationError,
)

from scale_experiments.runs.scenario import AnyScenario

MAX_TIME_LIMIT_S = 7200.0  # the longest time limit of a run
MAX_SIZES = 100

Model = TypeVar("Model", bound=BaseModel)


def check_finite(value: object) -> object:
    """Check a value of TOML: a finite integer or float, which is returned as it is. Raises ValueError."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError("must be a finite number")
    return value


def check_not_negative(value: object) -> object:
    """Check that a number is at least 0; raises ValueError."""
    if isinstance(value, int | float) and value < 0:
        raise ValueError("must be at least 0")
    return value


Number = Annotated[int | float, PlainValidator(check_finite)]
NonNegativeNumber = Annotated[int | float, PlainValidator(check_finite), AfterValidator(check_not_negative)]
Name = Annotated[str, StringConstraints(pattern=r"^[a-z][a-z0-9_.-]*$", max_length=60)]


class InputError(ValueError):
    """Input that can't be used; the message is one line that names the file and the field."""


class Budget(BaseModel):
    """A limit of the median of a metric, at the sizes whose columns have the values of `at`."""

    model_config = ConfigDict(extra="forbid")

    metric: str
    most: Number
    at: dict[str, Number] = Field(default_factory=dict)

    def applies_to(self, size: Mapping[str, float]) -> bool:
        """Whether the budget limits the metric at this size."""
        return all(column in size and size[column] == value for column, value in self.at.items())


class Experiment(BaseModel):
    """One experiment file. `seed` is that of the first repeat; each further repeat adds 1."""

    model_config = ConfigDict(extra="forbid")

    name: Name
    kind: Annotated[str, StringConstraints(pattern=r"^[a-z][a-z0-9_]*$")]
    seed: StrictInt = Field(ge=0, lt=2**31)
    repeats: StrictInt = Field(default=1, ge=1, le=100)
    time_limit_s: float = Field(gt=0, le=MAX_TIME_LIMIT_S, strict=True)
    parameters: dict[str, Any] = Field(default_factory=dict)
    sizes: list[dict[str, NonNegativeNumber]] = Field(min_length=1, max_length=MAX_SIZES)
    budgets: list[Budget] = Field(default_factory=list)


def field_path(path: tuple[int | str, ...]) -> str:
    """The path of a field as text, such as `sizes[0].caches`."""
    spelled = ""
    for part in path:
        spelled += f"[{part}]" if isinstance(part, int) else f".{part}" if spelled else part
    return spelled


def describe_validation_error(
    file: Path,
    error: ValidationError,
    within: tuple[int | str, ...] = (),
    known: type[BaseModel] | None = None,
) -> str:
    """Describe the first error of a validation, in one line.

    `within` is the path of the validated table in the file. `known` is its schema, whose keys are listed if
    the error is an unknown key.
    """
    # an unknown field comes first: most often it is a misspelling of a field that is missing
    first = min(error.errors(include_url=False), key=lambda e: e["type"] != "extra_forbidden")
    path = first["loc"]
    field = field_path((*within, *path)) or "file"
    given = "" if first["type"] == "missing" else f", not {first['input']!r}"[:60]
    reason = first["msg"].removeprefix("Value error, ")
    if first["type"] == "extra_forbidden":
        given, reason = "", "is not known"
        if known is not None and len(path) == 1:
            keys = (field.alias or name for name, field in known.model_fields.items())
            reason += f"; known are {', '.join(keys)}"
    return f"{file}: {field}: {reason}{given}".replace("\n", " ")


def read_toml(file: Path) -> dict[str, Any]:
    """Read a TOML file; raises InputError."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as e:
        raise InputError(f"{file}: file: {e.strerror or e}") from e
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise InputError(f"{file}: file: is not TOML: {e}".replace("\n", " ")) from e


@dataclass(slots=True, frozen=True)
class CheckedExperiment:
    """An experiment, its scenario, and its parameters as that scenario's schema reads them."""

    experiment: Experiment
    scenario: AnyScenario
    parameters: BaseModel


def load_experiment(file: Path, scenarios: Mapping[str, AnyScenario]) -> CheckedExperiment:
    """Read and check an experiment of one of these scenarios.

    Raises InputError, which names the file and the field.
    """
    experiment = _validate(file, Experiment, read_toml(file))
    if experiment.name != file.stem:
        raise InputError(f"{file}: name: must be the file's, {file.stem!r}, not {experiment.name!r}")
    try:
        scenario = scenarios[experiment.kind]
    except KeyError:
        known = ", ".join(scenarios)
        raise InputError(f"{file}: kind: must be one of {known}, not {experiment.kind!r}") from None
    parameters = _validate(file, scenario.parameters, experiment.parameters, ("parameters",))
    for number, size in enumerate(experiment.sizes):
        _validate(file, scenario.size, size, ("sizes", number))
    _check_budgets(file, experiment, scenario)
    return CheckedExperiment(experiment, scenario, parameters)


def _validate(
    file: Path, model: type[Model], table: Mapping[str, Any], within: tuple[int | str, ...] = ()
) -> Model:
    """Validate a table, which is at the path `within` of the file; raises InputError."""
    try:
        return model.model_validate(table)
    except ValidationError as e:
        raise InputError(describe_validation_error(file, e, within, model)) from e


def _check_budgets(file: Path, experiment: Experiment, scenario: AnyScenario) -> None:
    """Raise InputError for a budget whose metric is not measured, or that applies to no size."""
    for number, budget in enumerate(experiment.budgets):
        place = f"{file}: budgets[{number}]"
        if budget.metric not in scenario.metric_descriptions:
            raise InputError(f"{place}.metric: is not measured by {experiment.kind}: {budget.metric!r}")
        if not any(budget.applies_to(size) for size in experiment.sizes):
            raise InputError(f"{place}.at: is none of the sizes")
