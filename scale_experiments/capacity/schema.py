"""The schema of capacity.toml.

Where a key of the file differs from the name in the code, the key is the field's alias. Errors name the key.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from scale_experiments.expression import Expression
from scale_experiments.fitting.forms import Form

MISSING_MECHANISM = "missing"


def _parse_formula(value: Any) -> Any:
    """Parse a string or a number as an expression; any other value is left for the schema to reject."""
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return Expression(repr(value))
    return Expression(value) if isinstance(value, str) else value


Formula = Annotated[Expression, BeforeValidator(_parse_formula)]
Unit = Literal["cores", "share", "s", "bytes", "bytes_per_s", "per_s", "per_day", "count"]
ParameterOrigin = Literal["given", "code", "assumed"]
Resource = Literal["state", "messages", "processor time", "memory", "bytes", "connections", "time"]


class StrictModel(BaseModel):
    """A table of capacity.toml; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", arbitrary_types_allowed=True, frozen=True)


class Parameter(StrictModel):
    """A number that was not measured: given by the operators, set in the code, or assumed.

    It is a number of target.toml (`target_path`, table.name or table.name.index), a constant of the router
    (`code_path`, module:name), or derived from other parameters (`formula`).
    """

    name: str
    target_path: str | None = Field(default=None, alias="target")
    code_path: str | None = Field(default=None, alias="code")
    formula: Formula | None = Field(default=None, alias="value")
    origin: ParameterOrigin = Field(alias="kind")
    unit: Unit
    # source of a given number, or reason for an assumption
    source: str = ""

    @model_validator(mode="after")
    def _has_one_definition(self) -> Parameter:
        if [self.target_path, self.code_path, self.formula].count(None) != 2:
            raise ValueError("must have exactly one of target, code and value")
        return self


class MeasuredTerm(StrictModel):
    """A term of a formula: a metric of a stored result, fitted against the size."""

    result: str
    metric: str
    # form of the fit; None for the best of all forms
    form: Form | None = None
    # columns over which `form` is fitted; None for all that vary
    columns: list[str] | None = Field(default=None, alias="over")
    # formulas of the columns that are neither `routers`, `caches` nor a parameter of the same name
    column_formulas: dict[str, Formula] = Field(default={}, alias="at")
    # use the mean at the largest measured size, without a fit
    at_largest_size: bool = Field(default=False, alias="largest_only")
    # smallest sizes that are fitted, by column: today's size, if the slope differs below it
    min_sizes: dict[str, float] = Field(default={}, alias="least")
    # largest sizes that are fitted, by column; beyond them, the measuring machine was overloaded
    max_sizes: dict[str, float] = Field(default={}, alias="most")
    # the only sizes that are fitted, by column
    only_sizes: dict[str, float] = Field(default={}, alias="where")

    @model_validator(mode="after")
    def _columns_need_a_form(self) -> MeasuredTerm:
        if self.columns is not None and self.form is None:
            raise ValueError("over must be used together with form")
        return self


class CapacityEntry(StrictModel):
    """An entry of the capacity table: the fields that demands and failure impacts share."""

    role: str
    description: str = Field(alias="what")
    unit: Unit
    formula: Formula = Field(alias="value")
    terms: dict[str, MeasuredTerm] = Field(default={}, alias="measured")
    note: str = ""


class Demand(CapacityEntry):
    """A steady load on a role, and its budget."""

    resource: Resource = Field(alias="kind")
    budget: Formula | None = None
    # module:name of the code that carries the demand, or MISSING_MECHANISM
    mechanism: str
    # the given figures contradict each other, so that no mechanism can keep the demand within its budget
    is_contradiction: bool = Field(default=False, alias="contradiction")

    @property
    def title(self) -> str:
        """The title of the demand on the page: its resource and its description."""
        return f"{self.resource}: {self.description}"


class FailureImpact(CapacityEntry):
    """The cost of an everyday failure to a role, and the recovery time in seconds."""

    event: str
    recovery: Formula | None = None


class Comparison(StrictModel):
    """A comparison of metrics between a baseline, made before a mechanism was built, and the later result."""

    result: str
    metrics: list[str] = Field(min_length=1)
    units: list[Unit] = Field(min_length=1)
    # metric of a fixed task, which corrects for the different loads of the machine in the two runs
    reference_metric: str | None = Field(default=None, alias="reference")
    # sizes that are shown, by column; empty for all sizes
    sizes: dict[str, list[float]] = Field(default={}, alias="at")

    @model_validator(mode="after")
    def _has_a_unit_for_each_metric(self) -> Comparison:
        if len(self.metrics) != len(self.units):
            raise ValueError("units must have one element for each of metrics")
        return self


class Heading(StrictModel):
    """The name by which entries refer to a role or an event, and its title on the page."""

    name: str
    title: str


class CapacityTable(StrictModel):
    """The contents of capacity.toml."""

    roles: list[Heading]
    events: list[Heading]
    parameters: list[Parameter] = Field(alias="figures")
    demands: list[Demand] = Field(alias="lines")
    failures: list[FailureImpact]
    comparisons: list[Comparison] = []

    def location(self, entry: CapacityEntry) -> str:
        """Return the location of an entry in the file, such as `lines[3]`."""
        for key, entries in (("lines", self.demands), ("failures", self.failures)):
            for index, candidate in enumerate(entries):
                if candidate is entry:
                    return f"{key}[{index}]"
        raise LookupError(f"entry is not in the capacity table: {entry.description}")

    def role_titles(self) -> dict[str, str]:
        """Return the titles of the roles, by name."""
        return {role.name: role.title for role in self.roles}
