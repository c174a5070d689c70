"""Writes the tables of docs/CAPACITY.md from kept results and from the lines of `capacity.toml`.

A line is something that a role has to carry: what it takes at a size, worked out by a small expression from
metrics that were measured and fitted, figures that the operators gave, and assumptions; what it may take; and
the module and function that carries it. Its break is the size on the straight line from today's fleet to the
target, and beyond, at which it first takes more than it may.
"""

from __future__ import annotations

import importlib
import json
import math
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

from scale_experiments.experiment import InputError, fault, read_table
from scale_experiments.expression import Expression, ExpressionError
from scale_experiments.fit import (
    ALONG,
    BEYOND,
    NEAR,
    NOISE,
    PAIR,
    Fit,
    FitError,
    Form,
    Size,
    best_fit,
    describe_slopes,
    fit_form,
    largest_only,
    mean_near,
    number,
    points_of,
    varying,
    with_error,
)
from scale_experiments.results import Result, load_result
from scale_experiments.target import Target, load_target

ROOT = Path(__file__).resolve().parent.parent
PAGE = Path("docs/CAPACITY.md")
LINES = Path("scale_experiments/capacity.toml")
RESULTS = Path("scale_experiments/results")
TARGET = Path("scale_experiments/experiments/target.toml")

MISSING = "missing"
BROKEN_THERE, HELD_THERE = "broken where measured", "not broken where measured"
BEFORE = ".before"  # a result made before the mechanism was built
MOST = 10.0  # ways from today to the target, after which a break is no longer looked for
STEPS = 80  # at which a break is looked for on the way
HALVINGS = 60


# The table of lines


def _expression(value: Any) -> Any:
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        return Expression(repr(value))
    return Expression(value) if isinstance(value, str) else value


Formula = Annotated[Expression, BeforeValidator(_expression)]
Unit = Literal["cores", "share", "s", "bytes", "bytes_per_s", "per_s", "per_day", "count"]


class Table(BaseModel):
    """A part of capacity.toml; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", arbitrary_types_allowed=True, frozen=True)


class Figure(Table):
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
    def _once(self) -> Figure:
        if [self.target, self.code, self.value].count(None) != 2:
            raise ValueError("wants one of target, code and value")
        return self


class Measured(Table):
    """A metric of a kept result, fitted; `at` gives columns of its size other than routers and caches."""

    result: str
    metric: str
    form: Form | None = None  # the best of all where it is absent
    over: list[str] | None = None  # the columns of `form`; all that vary where it is absent
    at: dict[str, Formula] = {}
    largest_only: bool = False  # what was measured at the largest size, and no fit
    least: dict[
        str, float
    ] = {}  # the smallest sizes that are fitted, by column: today's, where a slope bends

    most: dict[
        str, float
    ] = {}  # the largest sizes that are fitted, by column: beyond, the rig was at its end
    where: dict[str, float] = {}  # the only sizes that are fitted, by column

    @model_validator(mode="after")
    def _both(self) -> Measured:
        if self.over is not None and self.form is None:
            raise ValueError("over wants a form")
        return self


class Carried(Table):
    """What lines of size and lines of failure have in common."""

    role: str
    what: str
    unit: Unit
    value: Formula
    measured: dict[str, Measured] = {}
    note: str = ""


class Line(Carried):
    """Something that a role carries all day."""

    kind: Literal["state", "messages", "processor time", "memory", "bytes", "connections", "time"]
    budget: Formula | None = None
    mechanism: str  # module:function, or `missing`
    contradiction: bool = False  # figures that can't all hold; no mechanism mends it


class Failure(Carried):
    """What an everyday failure costs a role, and how long it is until all is as before."""

    event: str
    recovery: Formula | None = None  # seconds


class Comparison(Table):
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


class Named(Table):
    name: str
    title: str


class Capacity(Table):
    """The whole of capacity.toml."""

    roles: list[Named]
    events: list[Named]
    figures: list[Figure]
    lines: list[Line]
    failures: list[Failure]
    comparisons: list[Comparison] = []


def read_capacity(path: Path) -> Capacity:
    """Read and check the table of lines; raises InputError with file and field."""
    try:
        capacity = Capacity.model_validate(read_table(path))
    except ValidationError as e:
        raise InputError(fault(path, e)) from e
    for i, line in enumerate(capacity.lines):
        if line.mechanism != MISSING:
            in_code(line.mechanism, f"{path}: lines[{i}].mechanism")
    known: list[tuple[str, str, list[Named]]] = [
        *((f"lines[{i}].role", x.role, capacity.roles) for i, x in enumerate(capacity.lines)),
        *((f"failures[{i}].role", x.role, capacity.roles) for i, x in enumerate(capacity.failures)),
        *((f"failures[{i}].event", x.event, capacity.events) for i, x in enumerate(capacity.failures)),
    ]
    formulas: list[Expression | None] = [f.value for f in capacity.figures]
    formulas += [x for line in capacity.lines for x in (line.value, line.budget)]
    formulas += [x for failure in capacity.failures for x in (failure.value, failure.recovery)]
    carried: list[Carried] = [*capacity.lines, *capacity.failures]
    formulas += [x for c in carried for m in c.measured.values() for x in m.at.values()]
    titles = [(line.role, line.kind, line.what) for line in capacity.lines]
    if twice := next((t for i, t in enumerate(titles) if t in titles[:i]), None):
        raise InputError(f"{path}: lines: {', '.join(twice)} is there twice")
    unused = {f.name for f in capacity.figures}.difference(*(f.names for f in formulas if f is not None))
    # a column of a size may be a figure of the same name
    if unused := unused - {"changes_per_s", "requests_per_s"}:
        raise InputError(f"{path}: figures: {min(unused)!r} is used by no line")
    for where, name, names in known:
        if name not in {n.name for n in names}:
            raise InputError(f"{path}: {where}: {name!r} is not known")
    return capacity


def in_code(name: str, where: str) -> Any:
    """What stands at module:name; guards the page, as what it says stands must stand in the code."""
    module, _, path = name.partition(":")
    try:
        found: Any = importlib.import_module(module)
        for part in path.split("."):
            found = getattr(found, part)
    except (ImportError, AttributeError, ValueError) as e:
        raise InputError(f"{where}: {name!r} does not exist: {e}") from e
    return found


def in_target(target: Target, name: str, where: str) -> float:
    """A number of target.toml at table.name or table.name.index."""
    found: Any = target
    for part in name.split("."):
        found = (
            found[int(part)] if part.isdigit() and isinstance(found, tuple) else getattr(found, part, None)
        )
    if not isinstance(found, (int, float)):
        raise InputError(f"{where}: {name!r} is no number of {TARGET.name}")
    return float(found)


# What lines come to


@dataclass(slots=True, frozen=True)
class Way:
    """The straight line from today's fleet (0) to the target (1), and on, in routers and caches."""

    today: tuple[float, float]
    target: tuple[float, float]

    def size(self, t: float) -> dict[str, float]:
        """Routers and caches at a point of the line."""
        routers, caches = (a + (b - a) * t for a, b in zip(self.today, self.target, strict=True))
        return {"t": t, "routers": routers, "caches": caches}

    def beyond(self) -> dict[str, float]:
        """So many times the target, in both; a little off the line."""
        return {"t": BEYOND, "routers": BEYOND * self.target[0], "caches": BEYOND * self.target[1]}


class NotMeasured(Exception):
    """A result that a line needs is not kept."""


class Book:
    """The kept results, and what lines come to by them; with `before`, by the older where there are any."""

    def __init__(self, capacity: Capacity, target: Target, results: Path, before: bool = False) -> None:
        self.capacity = capacity
        self.target = target
        today = float(target.today.routers), float(target.today.caches)
        self.way = Way(today, (float(target.target.routers), float(target.target.caches)))
        self.folder = results
        self.before = before
        self.results: dict[str, Result] = {}
        self.fits: dict[str, Fit] = {}
        self.breaks: dict[tuple[str, str, str, float], float | None] = {}
        self.figures = {f.name: f for f in capacity.figures}

    def file(self, name: str) -> Path:
        """The file of a result: the older where it is asked for or is the only one; raises NotMeasured."""
        kept = [f for f in (f"{name}.json", f"{name}{BEFORE}.json") if (self.folder / f).exists()]
        if not kept:
            raise NotMeasured(name)
        return self.folder / kept[-1 if self.before else 0]

    def result(self, name: str) -> Result:
        """A kept result; raises NotMeasured."""
        path = self.file(name)
        if path.name not in self.results:
            self.results[path.name] = load_result(path)
        return self.results[path.name]

    def fit(self, measured: Measured) -> Fit:
        """The fit of a metric; raises NotMeasured where no sample holds it."""
        key = measured.model_dump_json(exclude={"at"})
        if key not in self.fits:
            points = self.points(measured)
            self.fits[key] = (
                best_fit(measured.metric, points)
                if measured.form is None
                else fit_form(measured.metric, measured.form, points, measured.over)
            )
        return self.fits[key]

    def points(self, measured: Measured) -> list[tuple[Size, float]]:
        """What of a metric is fitted; raises NotMeasured where no sample holds it."""
        points = [
            (size, value)
            for size, value in points_of(self.result(measured.result), measured.metric)
            if all(size.get(column, 0) >= least for column, least in measured.least.items())
            and all(size.get(column, 0) <= most for column, most in measured.most.items())
            and all(size.get(column) == x for column, x in measured.where.items())
        ]
        if not points:
            raise NotMeasured(f"{measured.metric} of {measured.result}")
        return largest_only(points) if measured.largest_only else points

    def measured_there(self, line: Carried, size: Size) -> float | None:
        """What a line takes by what was measured at a size itself; None where a term was not."""
        terms = {}
        for name in line.value.names & line.measured.keys():
            measured = line.measured[name]
            points = self.points(measured)
            if not (columns := varying(points)):
                return None
            at = {
                c: measured.at[c].value(lambda n: self.figure(n, size))
                if c in measured.at
                else self.figure(c, size)
                for c in columns
                if c not in ALONG
            }
            mean = mean_near(points, at)
            if mean is None:
                return None
            terms[name] = mean
        if not terms:
            return None
        return line.value.value(lambda n: terms[n] if n in terms else self.figure(n, size))

    def figure(self, name: str, size: Size) -> float:
        """A size's routers, caches and t, or a figure; raises InputError for what is neither."""
        if name in size:
            return size[name]
        if name not in self.figures:
            raise InputError(f"{LINES}: {name!r} is no figure, no measured term and no size")
        figure, where = self.figures[name], f"{LINES}: figures.{name}"
        if figure.target is not None:
            return in_target(self.target, figure.target, where)
        if figure.code is not None:
            return float(in_code(figure.code, where))
        assert figure.value is not None
        return figure.value.value(lambda n: self.figure(n, size))

    def size_of(self, measured: Measured, size: Size) -> dict[str, float]:
        """The columns that a fit needs."""
        return {
            column: measured.at[column].value(lambda n: self.figure(n, size))
            if column in measured.at
            else self.figure(column, size)
            for column in self.fit(measured).columns
        }

    def estimate(
        self, line: Carried, size: Size, formulas: Sequence[Expression], told: Callable[[list[float]], float]
    ) -> tuple[float, float]:
        """What is told of formulas of a line's terms, and the standard error that their fits leave in it."""
        names = set().union(*(f.names for f in formulas))
        used = {n: m for n, m in line.measured.items() if n in names}
        terms = {n: self.fit(m).value(self.size_of(m, size)) for n, m in used.items()}

        def at(moved: str | None = None) -> float:
            def lookup(name: str) -> float:
                if name not in terms:
                    return self.figure(name, size)
                value, error = terms[name]
                return value + error if name == moved else value

            return told([f.value(lookup) for f in formulas])

        value = at()
        return value, math.sqrt(sum((at(n) - value) ** 2 for n in terms))

    def value(self, line: Carried, size: Size, formula: Expression | None = None) -> tuple[float, float]:
        """What a line takes at a size, and its standard error."""
        return self.estimate(line, size, [formula or line.value], sum)

    def budget(self, line: Line, size: Size) -> float | None:
        """What a line may take at a size."""
        return None if line.budget is None else self.estimate(line, size, [line.budget], sum)[0]

    def ratio(self, line: Line, size: Size, errors: float = 0.0) -> float:
        """What a line takes over what it may take, and so many standard errors more."""
        if line.budget is None:
            return 0.0
        ratio, error = self.estimate(line, size, [line.value, line.budget], lambda both: both[0] / both[1])
        return ratio + errors * error

    def break_at(self, line: Line, errors: float = 0.0) -> float | None:
        """The first point of the way, from today's fleet on, at which a line takes more than it may."""
        key = line.role, line.kind, line.what, errors
        if key not in self.breaks:
            self.breaks[key] = first_above(lambda t: self.ratio(line, self.way.size(t), errors) - 1.0)
        return self.breaks[key]

    def one_size(self, line: Carried) -> bool:
        """Whether any term of a line was measured at one size only, so that none of its slopes is known."""
        return any(self.fit(m).sizes == 1 for m in line.measured.values())

    def beyond(self, line: Carried, formulas: Sequence[Expression], size: Size) -> float:
        """How far a size lies beyond what was measured of the terms of formulas, at most; 1 within."""
        names = set().union(*(f.names for f in formulas))
        used = [m for n, m in line.measured.items() if n in names]
        return max((self.fit(m).beyond(self.size_of(m, size)) for m in used), default=1.0)

    def measured_names(self, formula: Expression) -> set[str]:
        """All names that a formula rests on, through figures."""
        names, waiting = set(formula.names), list(formula.names)
        while waiting:
            name = waiting.pop()
            if name in self.figures and (value := self.figures[name].value) is not None:
                new = value.names - names
                names |= new
                waiting.extend(new)
        return names

    def basis(self, line: Carried, formula: Expression | None = None) -> str:
        """How a line is known: measured, extrapolated and how far, given, and what is assumed."""
        formula = formula or line.value
        parts = []
        used = {n: m for n, m in line.measured.items() if n in formula.names}
        fits = {n: self.fit(m) for n, m in used.items()}
        far = self.beyond(line, [formula], self.way.size(1.0))
        if any(f.sizes > 1 for f in fits.values()):
            parts.append("measured" if far <= 1.0 + NEAR else f"extrapolated {number(far, 2)} times")
        for fixed in {json.dumps(f.fixed): f.fixed for f in fits.values() if f.sizes == 1}.values():
            parts.append("measured only at " + ", ".join(f"{c} {number(x, 5)}" for c, x in fixed.items()))
        if not self.before and any(
            self.file(m.result).name.endswith(f"{BEFORE}.json") for m in used.values()
        ):
            parts.append("on the version before only")
        names = self.measured_names(formula)
        for measured in used.values():
            for column in self.fit(measured).columns:
                names |= (
                    self.measured_names(measured.at[column])
                    if column in measured.at
                    else self.measured_names(Expression(column))
                )
        assumed = sorted(n for n in names if n in self.figures and self.figures[n].kind == "assumed")
        if assumed:
            parts.append("assumed: " + ", ".join(f"`{n}`" for n in assumed))
        return "; ".join(parts) or "given"

    def sources(self, line: Carried) -> str:
        """The slopes that a line was worked out from, each with its error and its result's file."""
        parts = []
        for measured in line.measured.values():
            result = self.result(measured.result)
            file = self.file(measured.result).name
            whole = "" if result.complete else ", not complete"
            fit = self.fit(measured)
            off = "" if math.isnan(fit.left_out) else f", off by {fit.left_out:.1%}"
            span = [f" from {number(x, 5)} {column} on" for column, x in measured.least.items()]
            span += [f" up to {number(x, 5)} {column}" for column, x in measured.most.items()]
            parts.append(
                f"`{measured.metric}`: {describe_slopes(fit)}{''.join(span)}{off}"
                f" ([{file.removesuffix('.json')}](../{RESULTS}/{file}){whole})"
            )
        return "; ".join([*parts, f"`{line.value.text}`"])


def first_above(excess: Callable[[float], float]) -> float | None:
    """The first t from 0 to MOST at which an excess is above 0; None where it is at none of many steps."""
    if excess(0.0) > 0:
        return 0.0
    below = 0.0
    for step in range(1, STEPS + 1):
        # as many steps between 0 and 1 as beyond
        t = step / (STEPS / 2) if step <= STEPS / 2 else MOST ** ((step - STEPS / 2) / (STEPS / 2))
        if excess(t) > 0:
            above = t
            for _ in range(HALVINGS):
                middle = (below + above) / 2
                below, above = (below, middle) if excess(middle) > 0 else (middle, above)
            return above
        below = t
    return None


# How it is written


SCALES: dict[str, tuple[tuple[float, str], ...]] = {
    "bytes": ((1e12, " TB"), (1e9, " GB"), (1e6, " MB"), (1e3, " KB"), (1.0, " B")),
    "bytes_per_s": ((1e12, " TB/s"), (1e9, " GB/s"), (1e6, " MB/s"), (1e3, " KB/s"), (1.0, " B/s")),
    "s": ((86_400.0, " d"), (3_600.0, " h"), (60.0, " min"), (1.0, " s"), (1e-3, " ms"), (1e-6, " µs")),
    "share": ((0.01, "%"),),
    "cores": ((1.0, " cores"), (0.01, "% of a core")),
    "per_s": ((1.0, "/s"),),
    "per_day": ((1.0, "/day"),),
    "count": ((1.0, ""),),
}


def quantity(value: float, unit: Unit, error: float = 0.0, digits: int = 3) -> str:
    """A number with its unit and, where there is one, its standard error."""
    scales = SCALES[unit]
    plain = next((s for s in scales if s[0] == 1.0), scales[-1])
    factor, name = next((s for s in scales if abs(value) >= s[0]), scales[-1]) if value else plain
    told = error > NOISE * abs(value)
    text = with_error(value / factor, error / factor) if told else number(value / factor, digits)
    return text + (" core" if name == " cores" and text == "1" else name)


def size_text(way: Way, t: float | None) -> str:
    """A point of the way, as routers and caches."""
    if t is None:
        return f"not before {MOST:g} times the way"
    if t == 0:
        return "at today's size"
    size = way.size(t)
    return f"{size['routers']:,.0f} / {size['caches']:,.0f}"


def table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> list[str]:
    """A table in Markdown."""
    lines = ["| " + " | ".join(header) + " |", "| " + " | ".join("---" for _ in header) + " |"]
    return lines + ["| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows]


def mechanism_text(mechanism: str) -> str:
    """What carries a line, as on the page."""
    return f"**{MISSING}**" if mechanism == MISSING else f"`{mechanism.replace(':', ', ')}`"


@dataclass(slots=True, frozen=True)
class Rank:
    """A line and where it breaks."""

    line: Line
    at: float | None  # -1 where nothing carries it at any size
    today: float = 0.0
    target: float = 0.0
    beyond: float = 0.0


class Page:
    """The tables of the page."""

    def __init__(self, capacity: Capacity, target: Target, results: Path) -> None:
        self.capacity = capacity
        self.book = Book(capacity, target, results)
        self.older = Book(capacity, target, results, before=True)
        self.way = self.book.way

    @cached_property
    def parts(self) -> dict[str, list[str]]:
        """Name of a pair of markers -> the lines between them."""
        return {
            **{f"role {r.name}": self.role(r.name) for r in self.capacity.roles},
            "ranking": self.ranking(self.book),
            "ranking before": self.ranking(self.older),
            "contradictions": self.ranking(self.book, contradiction=True),
            **{f"event {e.name}": self.event(e.name) for e in self.capacity.events},
            **{f"comparison {c.result}": self.comparison(c) for c in self.capacity.comparisons},
            "figures": self.figures(),
            "results": self.results(),
        }

    def role(self, role: str) -> list[str]:
        """All that a role carries."""
        rows = []
        target = self.way.size(1.0)
        for line in (x for x in self.capacity.lines if x.role == role):
            what = f"{line.kind}: {line.what}" + (f" ({line.note})" if line.note else "")
            mechanism = mechanism_text(line.mechanism)
            allowed = "none given" if line.budget is None else "not measured"
            try:
                if (budget := self.book.budget(line, target)) is not None:
                    allowed = quantity(budget, line.unit)
                value, error = self.book.value(line, target)
                ratio = break_text = "-"
                if budget is not None:
                    ratio = number(self.book.ratio(line, target))
                    break_text = self.break_text(line)
                there = self.book.measured_there(line, target)
                at_target = quantity(value, line.unit, error)
                if there is not None:
                    at_target += f" (measured there: {quantity(there, line.unit)})"
                rows.append(
                    [
                        what,
                        at_target,
                        allowed,
                        ratio,
                        break_text,
                        self.book.sources(line),
                        self.book.basis(line),
                        mechanism,
                    ]
                )
            except NotMeasured as e:
                rows.append(
                    [what, "not measured", allowed, "-", "-", f"wants {e}", "not measured", mechanism]
                )
        header = [
            "what", "at the target", "budget", "ratio", "breaks at (routers / caches)", "worked out from",
            "known by", "carried by",
        ]  # fmt: skip
        return table(header, rows)

    def break_text(self, line: Line) -> str:
        """Where a line breaks, and where it would a standard error to either side."""
        at = self.book.break_at(line)
        text = self.where(self.book, line, at)
        if self.book.one_size(line):
            return text
        if at == 0:
            return f"{text} ({number(self.book.ratio(line, self.way.size(0.0)))} times the budget)"
        early, late = self.book.break_at(line, 1.0), self.book.break_at(line, -1.0)
        if at is None or early == late:
            return text
        return f"{text} ({size_text(self.way, early)} to {size_text(self.way, late)})"

    def where(self, book: Book, line: Line, at: float | None) -> str:
        """The size at which a line breaks, and how far that lies beyond what was measured."""
        if book.one_size(line):
            return BROKEN_THERE if at == 0 else HELD_THERE
        text = size_text(self.way, at)
        if at is None:
            return text
        far = book.beyond(line, [line.value], self.way.size(at))
        return text if far <= 1.0 + NEAR else f"{text}, {number(far, 2)} times beyond what was measured"

    def ranks(self, book: Book, contradiction: bool = False) -> list[Rank]:
        """The lines that have a budget and are measured, the smallest break first."""
        ranks = []
        for line in self.capacity.lines:
            if line.budget is None or line.contradiction != contradiction:
                continue
            try:
                sizes = (self.way.size(0.0), self.way.size(1.0), self.way.beyond())
                ranks.append(Rank(line, book.break_at(line), *(book.ratio(line, size) for size in sizes)))
            except NotMeasured:
                if line.mechanism == MISSING:
                    ranks.append(Rank(line, -1.0))
        return sorted(
            ranks, key=lambda r: (math.inf if r.at is None else r.at, -r.today if r.at == 0 else -r.target)
        )

    def ranking(self, book: Book, contradiction: bool = False) -> list[str]:
        """Where lines break, the smallest size first."""
        titles = {r.name: r.title for r in self.capacity.roles}
        rows = []
        for i, r in enumerate(self.ranks(book, contradiction)):
            row = [str(i + 1), titles[r.line.role], f"{r.line.kind}: {r.line.what}"]
            if r.at == -1.0:
                row += ["at any size", "-", "-", "-", "not measured"]
            else:
                row += [self.where(book, r.line, r.at), *map(number, (r.today, r.target, r.beyond))]
                row.append(book.basis(r.line))
            rows.append([*row, mechanism_text(r.line.mechanism)])
        header = [
            "", "role", "what", "breaks at (routers / caches)", "ratio today", "ratio at the target",
            f"ratio at {BEYOND:g} times the target", "known by", "carried by",
        ]  # fmt: skip
        return table(header, rows)

    def event(self, event: str) -> list[str]:
        """What a failure costs each role."""
        titles = {r.name: r.title for r in self.capacity.roles}
        rows = []
        for failure in (x for x in self.capacity.failures if x.event == event):
            what = failure.what + (f" ({failure.note})" if failure.note else "")
            try:
                value = quantity(*self._told(failure, failure.value, failure.unit))
                recovery = (
                    "-" if failure.recovery is None else quantity(*self._told(failure, failure.recovery, "s"))
                )
                known = [self.book.sources(failure), self.book.basis(failure)]
            except NotMeasured as e:
                value, recovery, known = "not measured", "not measured", [f"wants {e}", "not measured"]
            rows.append([titles[failure.role], what, value, recovery, *known])
        return table(
            ["role", "cost", "at the target", "until all is as before", "worked out from", "known by"], rows
        )

    def _told(self, failure: Failure, formula: Expression, unit: Unit) -> tuple[float, Unit, float]:
        value, error = self.book.value(failure, self.way.size(1.0), formula)
        return value, unit, error

    def comparison(self, comparison: Comparison) -> list[str]:
        """Means at the sizes that both results hold."""
        header = ["what", "size", "before", "after", "after / before", "the same by the reference"]
        unknown = table(header, [["not measured", *[""] * (len(header) - 1)]])
        try:
            before, after = (book.result(comparison.result) for book in (self.older, self.book))
        except NotMeasured:
            return unknown
        if before == after:
            return unknown
        work = [_means(r, comparison.reference) if comparison.reference else {} for r in (before, after)]
        rows = []
        for metric, unit in zip(comparison.metrics, comparison.units, strict=True):
            points = [points_of(result, metric) for result in (before, after)]
            columns = varying(points[0])
            columns = tuple(c for c in columns if c in PAIR) or columns
            first, second = _means(before, metric), _means(after, metric)
            for size in sorted(first.keys() & second.keys()):
                if any(x not in comparison.at.get(name, [x]) for name, x in size):
                    continue
                a, b = first[size], second[size]
                text = ", ".join(f"{name} {number(x, 5)}" for name, x in size if name in columns)
                row = [f"`{metric}`", text, quantity(a, unit), quantity(b, unit), number(b / a) if a else "-"]
                timed = unit in ("s", "cores") and metric != comparison.reference and a
                fair = timed and all(size in w for w in work)
                rows.append([*row, number(b / a * work[0][size] / work[1][size]) if fair else "-"])
            within = [
                [(z, v) for z, v in p if all(z[c] <= max(xs) for c, xs in comparison.at.items() if c in z)]
                for p in points
            ]
            if all(within):
                fits = [describe_slopes(_growth(metric, p)) for p in within]
                rows.append([f"`{metric}`", "all sizes up to the last, fitted", *fits, "-", "-"])
        return table(header, rows) if rows else unknown

    def results(self) -> list[str]:
        """The results that the lines rest on, and of which version they are."""
        held = {**self.older.results, **self.book.results}
        rows = []
        for file, result in sorted(held.items()):
            columns = varying([(s.size, 0.0) for s in result.samples])
            sizes = [
                f"{c} {number(min(s.size[c] for s in result.samples), 5)} to"
                f" {number(max(s.size[c] for s in result.samples), 5)}"
                for c in columns
            ]
            name = f"[{file.removesuffix('.json')}](../{RESULTS}/{file})"
            whole = "yes" if result.complete else "no"
            revision = result.versions.project[:7] + result.versions.project[40:]
            rows.append([name, result.started, revision, str(len(result.samples)), ", ".join(sizes), whole])
        return table(["result", "started", "version", "samples", "sizes", "complete"], rows)

    def figures(self) -> list[str]:
        """What was given and what is assumed."""
        size = self.way.size(1.0)
        rows = [
            [
                f"`{f.name}`",
                quantity(self.book.figure(f.name, size), f.unit, digits=5),
                f.kind,
                f"`{f.target or f.code or (f.value.text if f.value else '')}`",
                f.source,
            ]
            for f in self.capacity.figures
        ]
        return table(["figure", "at the target", "known by", "from", "why"], rows)


def _growth(metric: str, points: Sequence[tuple[Size, float]]) -> Fit:
    """How a metric grows: the power, so that before and after compare, or the best where there is none."""
    try:
        return fit_form(metric, Form.POWER, points)
    except FitError:
        return best_fit(metric, points)


def _means(result: Result, metric: str) -> dict[tuple[tuple[str, float], ...], float]:
    """Size -> mean of a metric."""
    values: dict[tuple[tuple[str, float], ...], list[float]] = {}
    for size, value in points_of(result, metric):
        values.setdefault(tuple(sorted((n, float(x)) for n, x in size.items())), []).append(value)
    return {size: math.fsum(v) / len(v) for size, v in values.items()}


def fill(page: str, parts: Mapping[str, Sequence[str]], name: str) -> str:
    """The page with the lines between its markers replaced; raises InputError where markers don't fit."""
    lines: list[str] = []
    inside: str | None = None
    found: set[str] = set()
    for i, line in enumerate(page.splitlines()):
        text = line.strip()
        if text.startswith("<!-- table: ") and text.endswith(" -->"):
            part = text.removeprefix("<!-- table: ").removesuffix(" -->")
            if inside is not None or part not in parts or part in found:
                raise InputError(f"{name}:{i + 1}: marker {part!r} is unknown, there twice or inside another")
            inside = part
            found.add(part)
            lines += [line, *parts[part]]
        elif text == "<!-- end -->":
            if inside is None:
                raise InputError(f"{name}:{i + 1}: an end without a table")
            inside = None
        if inside is None:
            lines.append(line)
    if inside is not None:
        raise InputError(f"{name}: table {inside!r} has no end")
    if missing := sorted(parts.keys() - found):
        raise InputError(f"{name}: table {missing[0]!r} has no place")
    return "\n".join(lines) + "\n"


def render(root: Path = ROOT) -> tuple[str, str]:
    """The page as it is and as the results give it."""
    page = Page(read_capacity(root / LINES), load_target(root / TARGET), root / RESULTS)
    kept = (root / PAGE).read_text()
    return kept, fill(kept, page.parts, str(PAGE))


def main(check: bool, root: Path = ROOT) -> int:
    """Write the tables, or with `check` compare only. 0; 1 where page and results differ; 2 for bad input."""
    try:
        kept, wanted = render(root)
    except (ExpressionError, FitError) as e:
        print(f"{LINES}: {e}", file=sys.stderr)
        return 2
    except (InputError, OSError) as e:
        print(e, file=sys.stderr)
        return 2
    if not check:
        (root / PAGE).write_text(wanted)
        return 0
    if kept == wanted:
        return 0
    old, new = kept.splitlines(), wanted.splitlines()
    at = next((i for i, (a, b) in enumerate(zip(old, new, strict=False)) if a != b), min(len(old), len(new)))
    have, want = (x[at] if at < len(x) else "(end)" for x in (old, new))
    print(
        f"scale_experiments report: {PAGE}:{at + 1}: the page has {have!r}, the results give {want!r}",
        file=sys.stderr,
    )
    return 1
