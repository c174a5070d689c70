"""Experiment files: their schema, and the scenarios that they may name.

An experiment is a TOML file: what to measure (`kind`, `[parameters]`), at which `[[sizes]]`, how often, and
the `[[budgets]]` that the figures have to keep.
"""

from __future__ import annotations

import importlib
import math
import pkgutil
import tomllib
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Annotated, Any, Protocol, TypeVar, cast

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    PlainValidator,
    StrictInt,
    StringConstraints,
    ValidationError,
    create_model,
)

from scale_experiments import scenarios
from scale_experiments.runs.context import ExperimentContext, Sample

MAX_TIME_LIMIT_S = 7200.0  # that a run may take
MAX_SIZES = 100
HELPER_PREFIX = "_"  # of modules that are no scenarios

Model = TypeVar("Model", bound=BaseModel)


def check_finite(value: object) -> object:
    """A number as TOML has it: whole numbers stay so; true, NaN and texts are none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError("must be a finite number")
    return value


def check_not_negative(value: object) -> object:
    """A number of at least 0."""
    if isinstance(value, int | float) and value < 0:
        raise ValueError("must be at least 0")
    return value


Number = Annotated[int | float, PlainValidator(check_finite)]
NonNegativeNumber = Annotated[int | float, PlainValidator(check_finite), AfterValidator(check_not_negative)]
Name = Annotated[str, StringConstraints(pattern=r"^[a-z][a-z0-9_.-]*$", max_length=60)]


class InputError(ValueError):
    """A file that can't be used; the message is one line that names the file and the field."""


class Scenario(Protocol):
    """A module of `scale_experiments/scenarios/`.

    It may also say which columns its sizes have: as `SIZES`, names or name -> meaning, or as `Size`,
    a schema.
    """

    @property
    def Parameters(self) -> type[BaseModel]:  # noqa: N802 - a class of the module
        """The schema of `[parameters]`."""
        ...

    @property
    def METRICS(self) -> dict[str, str]:  # noqa: N802 - a constant of the module
        """What is measured: names, whose suffix is the unit, and descriptions."""
        ...

    def measure(
        self, parameters: BaseModel, size: Mapping[str, float], seed: int, context: ExperimentContext
    ) -> Iterator[Sample]:
        """Measure one size; stops early, without a sample, once `context` has expired."""
        ...


class Budget(BaseModel):
    """The most that the median of a metric may be, at the sizes that have these columns."""

    model_config = ConfigDict(extra="forbid")

    metric: str
    most: Number
    at: dict[str, Number] = Field(default_factory=dict)

    def applies_to(self, size: Mapping[str, float]) -> bool:
        """Whether the budget is one of this size."""
        return all(column in size and size[column] == value for column, value in self.at.items())


class Experiment(BaseModel):
    """One experiment file."""

    model_config = ConfigDict(extra="forbid")

    name: Name
    kind: Annotated[str, StringConstraints(pattern=r"^[a-z][a-z0-9_]*$")]
    seed: StrictInt = Field(ge=0, lt=2**31)
    repeats: StrictInt = Field(default=1, ge=1, le=100)
    time_limit_s: float = Field(gt=0, le=MAX_TIME_LIMIT_S, strict=True)
    parameters: dict[str, Any] = Field(default_factory=dict)
    sizes: list[dict[str, NonNegativeNumber]] = Field(min_length=1, max_length=MAX_SIZES)
    budgets: list[Budget] = Field(default_factory=list)


def scenario_names() -> list[str]:
    """The scenarios that an experiment can name."""
    return sorted(
        module.name
        for module in pkgutil.iter_modules(scenarios.__path__)
        if not module.name.startswith(HELPER_PREFIX)
    )


def load_scenario(name: str) -> Scenario:
    """The module of a scenario; raises KeyError where there is none."""
    if name not in scenario_names():
        raise KeyError(name)
    return cast(Scenario, importlib.import_module(f"{scenarios.__name__}.{name}"))


def size_model(scenario: Scenario) -> type[BaseModel] | None:
    """The schema of a scenario's sizes, where it has one.

    Each column of `SIZES` must be given; others may be.
    """
    if (columns := getattr(scenario, "SIZES", None)) is not None:
        meanings = columns if isinstance(columns, Mapping) else dict.fromkeys(columns, "")
        fields: dict[str, Any] = {name: (float, Field(description=text)) for name, text in meanings.items()}
        return create_model("Size", **fields)
    return cast(type[BaseModel] | None, getattr(scenario, "Size", None))


def field_path(path: tuple[int | str, ...]) -> str:
    """A field as it would be written: `sizes[0].caches`."""
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
    """The first error that a schema found, in one line.

    `within` is the place of the table in the file; the fields of `known` are listed for an unknown key.
    """
    # a field that is not known comes first: it is most often the one that another is missing
    first = min(error.errors(include_url=False), key=lambda e: e["type"] != "extra_forbidden")
    path = first["loc"]
    field = field_path((*within, *path)) or "file"
    given = "" if first["type"] == "missing" else f", not {first['input']!r}"[:60]
    said = first["msg"].removeprefix("Value error, ")
    if first["type"] == "extra_forbidden":
        given, said = "", "is not known"
        if known is not None and len(path) == 1:
            said += f"; known are {', '.join(known.model_fields)}"
    return f"{file}: {field}: {said}{given}".replace("\n", " ")


def read_toml(file: Path) -> dict[str, Any]:
    """A TOML file's content; raises InputError."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as e:
        raise InputError(f"{file}: file: {e.strerror or e}") from e
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise InputError(f"{file}: file: is not TOML: {e}".replace("\n", " ")) from e


def load_experiment(file: Path) -> tuple[Experiment, Scenario, BaseModel]:
    """An experiment, its scenario and that scenario's parameters, all checked; raises InputError."""
    experiment = _validate(file, Experiment, read_toml(file))
    if experiment.name != file.stem:
        raise InputError(f"{file}: name: must be the file's, {file.stem!r}, not {experiment.name!r}")
    try:
        scenario = load_scenario(experiment.kind)
    except KeyError:
        known = ", ".join(scenario_names())
        raise InputError(f"{file}: kind: must be one of {known}, not {experiment.kind!r}") from None
    parameters = _validate(file, scenario.Parameters, experiment.parameters, ("parameters",))
    if (schema := size_model(scenario)) is not None:
        for number, size in enumerate(experiment.sizes):
            _validate(file, schema, size, ("sizes", number))
    _check_budgets(file, experiment, scenario)
    return experiment, scenario, parameters


def _validate(
    file: Path, model: type[Model], table: Mapping[str, Any], within: tuple[int | str, ...] = ()
) -> Model:
    """A table by its schema; raises InputError that names the field, `within` the file."""
    try:
        return model.model_validate(table)
    except ValidationError as e:
        raise InputError(describe_validation_error(file, e, within, model)) from e


def _check_budgets(file: Path, experiment: Experiment, scenario: Scenario) -> None:
    """Raise InputError for a budget of what is not measured, or of no size."""
    for number, budget in enumerate(experiment.budgets):
        place = f"{file}: budgets[{number}]"
        if budget.metric not in scenario.METRICS:
            raise InputError(f"{place}.metric: is not measured by {experiment.kind}: {budget.metric!r}")
        if not any(budget.applies_to(size) for size in experiment.sizes):
            raise InputError(f"{place}.at: is none of the sizes")
