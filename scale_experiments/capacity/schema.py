"""The schema of `capacity.toml`, and reading it."""

from __future__ import annotations

import importlib
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

from scale_experiments.capacity.paths import TARGET_FILE
from scale_experiments.experiment import InputError, fault, read_table
from scale_experiments.expression import Expression
from scale_experiments.fitting.forms import Form
from scale_experiments.target import Target

MISSING_MECHANISM = "missing"


def _expression(value: Any) -> Any:
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return Expression(repr(value))
    return Expression(value) if isinstance(value, str) else value


Formula = Annotated[Expression, BeforeValidator(_expression)]
Unit = Literal["cores", "share", "s", "bytes", "bytes_per_s", "per_s", "per_day", "count"]


class StrictModel(BaseModel):
    """A part of capacity.toml; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", arbitrary_types_allowed=True, frozen=True)


class Parameter(StrictModel):
    """A number that was not measured: `given` by the operators, in the `code`, or `assumed`.

    It stands in target.toml (`target`), in a module of the router (`code`, as module:name), or is worked out
    from others (`value`).
    """

    name: str
    target: str | None = None
    code: str | None = None
    value: Formula | None = None
    kind: Literal["given", "code", "assumed"]
    unit: Unit
    source: str = ""  # where it was given, or why it is assumed

    @model_validator(mode="after")
    def _once(self) -> Parameter:
        if [self.target, self.code, self.value].count(None) != 2:
            raise ValueError("wants one of target, code and value")
        return self


class MeasuredTerm(StrictModel):
    """A metric of a kept result, fitted; `at` gives columns of its size other than routers and caches."""

    result: str
    metric: str
    form: Form | None = None  # the best of all where it is absent
    over: list[str] | None = None  # the columns of `form`; all that vary where it is absent
    at: dict[str, Formula] = {}
    at_largest_size: bool = Field(
        default=False, alias="largest_only"
    )  # what was measured at the largest size, and no fit
    least: dict[
        str, float
    ] = {}  # the smallest sizes that are fitted, by column: today's, where a slope bends

    most: dict[
        str, float
    ] = {}  # the largest sizes that are fitted, by column: beyond, the rig was at its end
    where: dict[str, float] = {}  # the only sizes that are fitted, by column

    @model_validator(mode="after")
    def _both(self) -> MeasuredTerm:
        if self.over is not None and self.form is None:
            raise ValueError("over wants a form")
        return self


class CapacityItem(StrictModel):
    """What lines of size and lines of failure have in common."""

    role: str
    what: str
    unit: Unit
    value: Formula
    measured: dict[str, MeasuredTerm] = {}
    note: str = ""


class Demand(CapacityItem):
    """Something that a role carries all day."""

    kind: Literal["state", "messages", "processor time", "memory", "bytes", "connections", "time"]
    budget: Formula | None = None
    mechanism: str  # module:function, or `missing`
    contradiction: bool = False  # figures that can't all hold; no mechanism mends it


class FailureImpact(CapacityItem):
    """What an everyday failure costs a role, and how long it is until all is as before."""

    event: str
    recovery: Formula | None = None  # seconds


class Comparison(StrictModel):
    """Metrics of a result made before a mechanism was built, beside the same ones after.

    `reference` is a metric of a fixed piece of work, by which seconds of differently busy machines compare.
    `at` names the sizes that are shown, by a column each; all where it is empty.
    """

    result: str
    metrics: list[str] = Field(min_length=1)
    units: list[Unit] = Field(min_length=1)
    reference: str | None = None
    at: dict[str, list[float]] = {}

    @model_validator(mode="after")
    def _pairs(self) -> Comparison:
        if len(self.metrics) != len(self.units):
            raise ValueError("wants a unit for each metric")
        return self


class Heading(StrictModel):
    name: str
    title: str


class CapacityTable(StrictModel):
    """The whole of capacity.toml."""

    roles: list[Heading]
    events: list[Heading]
    parameters: list[Parameter] = Field(alias="figures")
    lines: list[Demand]
    failures: list[FailureImpact]
    comparisons: list[Comparison] = []


def read_capacity(path: Path) -> CapacityTable:
    """Read and check the table of lines; raises InputError with file and field."""
    try:
        capacity = CapacityTable.model_validate(read_table(path))
    except ValidationError as e:
        raise InputError(fault(path, e)) from e
    for i, line in enumerate(capacity.lines):
        if line.mechanism != MISSING_MECHANISM:
            resolve_in_code(line.mechanism, f"{path}: lines[{i}].mechanism")
    known: list[tuple[str, str, list[Heading]]] = [
        *((f"lines[{i}].role", x.role, capacity.roles) for i, x in enumerate(capacity.lines)),
        *((f"failures[{i}].role", x.role, capacity.roles) for i, x in enumerate(capacity.failures)),
        *((f"failures[{i}].event", x.event, capacity.events) for i, x in enumerate(capacity.failures)),
    ]
    formulas: list[Expression | None] = [f.value for f in capacity.parameters]
    formulas += [x for line in capacity.lines for x in (line.value, line.budget)]
    formulas += [x for failure in capacity.failures for x in (failure.value, failure.recovery)]
    carried: list[CapacityItem] = [*capacity.lines, *capacity.failures]
    formulas += [x for c in carried for m in c.measured.values() for x in m.at.values()]
    titles = [(line.role, line.kind, line.what) for line in capacity.lines]
    if twice := next((t for i, t in enumerate(titles) if t in titles[:i]), None):
        raise InputError(f"{path}: lines: {', '.join(twice)} is there twice")
    unused = {f.name for f in capacity.parameters}.difference(*(f.names for f in formulas if f is not None))
    # a column of a size may be a figure of the same name
    if unused := unused - {"changes_per_s", "requests_per_s"}:
        raise InputError(f"{path}: figures: {min(unused)!r} is used by no line")
    for where, name, names in known:
        if name not in {n.name for n in names}:
            raise InputError(f"{path}: {where}: {name!r} is not known")
    return capacity


def resolve_in_code(name: str, where: str) -> Any:
    """What stands at module:name; guards the page, as what it says stands must stand in the code."""
    module, _, path = name.partition(":")
    try:
        found: Any = importlib.import_module(module)
        for part in path.split("."):
            found = getattr(found, part)
    except (ImportError, AttributeError, ValueError) as e:
        raise InputError(f"{where}: {name!r} does not exist: {e}") from e
    return found


def resolve_in_target(target: Target, name: str, where: str) -> float:
    """A number of target.toml at table.name or table.name.index."""
    found: Any = target
    for part in name.split("."):
        found = (
            found[int(part)] if part.isdigit() and isinstance(found, tuple) else getattr(found, part, None)
        )
    if not isinstance(found, (int, float)):
        raise InputError(f"{where}: {name!r} is no number of {TARGET_FILE.name}")
    return float(found)
