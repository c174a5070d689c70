"""Experiment files: their schema, reading and validation.

An experiment is a TOML file. It states what to measure (`kind`, `[parameters]`), at which sizes of the fleet
(`[[sizes]]`), how often, and the limits that the metrics must not exceed (`[[budgets]]`).
"""

from __future__ import annotations

import math
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

from scale_experiments.runs.input_files import InputError, describe_validation_error, read_toml
from scale_experiments.runs.scenario import AnyScenario

MAX_TIME_LIMIT_S = 7200.0  # maximum of an experiment's `time_limit_s`
MAX_SIZES = 100  # maximum number of `[[sizes]]` in an experiment

Model = TypeVar("Model", bound=BaseModel)


def check_finite(value: object) -> object:
    """Return a value of TOML unchanged; raises ValueError unless it is a finite integer or float."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError("must be a finite number")
    return value


def check_not_negative(value: object) -> object:
    """Return a number unchanged; raises ValueError if it is negative."""
    if isinstance(value, int | float) and value < 0:
        raise ValueError("must be at least 0")
    return value


Number = Annotated[int | float, PlainValidator(check_finite)]
NonNegativeNumber = Annotated[int | float, PlainValidator(check_finite), AfterValidator(check_not_negative)]
Name = Annotated[str, StringConstraints(pattern=r"^[a-z][a-z0-9_.-]*$", max_length=60)]


class Budget(BaseModel):
    """An upper limit of the median of a metric, for the sizes whose columns have the values in `at`."""

    model_config = ConfigDict(extra="forbid")

    metric: str
    most: Number
    at: dict[str, Number] = Field(default_factory=dict)

    def applies_to(self, size: Mapping[str, float]) -> bool:
        """Return whether the budget limits the metric at this size."""
        return all(column in size and size[column] == value for column, value in self.at.items())


class Experiment(BaseModel):
    """One experiment file. `seed` is the seed of the first repeat; each further repeat adds 1."""

    model_config = ConfigDict(extra="forbid")

    name: Name
    kind: Annotated[str, StringConstraints(pattern=r"^[a-z][a-z0-9_]*$")]
    seed: StrictInt = Field(ge=0, lt=2**31)
    repeats: StrictInt = Field(default=1, ge=1, le=100)
    time_limit_s: float = Field(gt=0, le=MAX_TIME_LIMIT_S, strict=True)
    parameters: dict[str, Any] = Field(default_factory=dict)
    sizes: list[dict[str, NonNegativeNumber]] = Field(min_length=1, max_length=MAX_SIZES)
    budgets: list[Budget] = Field(default_factory=list)


@dataclass(slots=True, frozen=True)
class CheckedExperiment:
    """A valid experiment, its scenario, and its parameters as an instance of the scenario's schema."""

    experiment: Experiment
    scenario: AnyScenario
    parameters: BaseModel


def load_experiment(file: Path, scenarios: Mapping[str, AnyScenario]) -> CheckedExperiment:
    """Read and check an experiment file, whose kind has to be one of `scenarios`.

    Raises InputError, whose message names the file and the field.
    """
    experiment = _validate(file, Experiment, read_toml(file))
    if experiment.name != file.stem:
        raise InputError(f"{file}: name: must be the file's name, {file.stem!r}, not {experiment.name!r}")
    try:
        scenario = scenarios[experiment.kind]
    except KeyError:
        known = ", ".join(scenarios)
        raise InputError(f"{file}: kind: must be one of {known}, not {experiment.kind!r}") from None
    parameters = _validate(file, scenario.parameters, experiment.parameters, ("parameters",))
    for index, size in enumerate(experiment.sizes):
        _validate(file, scenario.size, size, ("sizes", index))
    _check_budgets(file, experiment, scenario)
    return CheckedExperiment(experiment, scenario, parameters)


def _validate(
    file: Path, model: type[Model], table: Mapping[str, Any], table_path: tuple[int | str, ...] = ()
) -> Model:
    """Validate a table, whose path in the file is `table_path`; raises InputError."""
    try:
        return model.model_validate(table)
    except ValidationError as e:
        raise InputError(describe_validation_error(file, e, table_path, model)) from e


def _check_budgets(file: Path, experiment: Experiment, scenario: AnyScenario) -> None:
    """Raise InputError for a budget whose metric the scenario doesn't measure, or that applies to no size."""
    for index, budget in enumerate(experiment.budgets):
        location = f"{file}: budgets[{index}]"
        if budget.metric not in scenario.metric_descriptions:
            raise InputError(
                f"{location}.metric: must be a metric of {experiment.kind}, not {budget.metric!r}"
            )
        if not any(budget.applies_to(size) for size in experiment.sizes):
            raise InputError(f"{location}.at: must match one of the sizes, not {budget.at}")
