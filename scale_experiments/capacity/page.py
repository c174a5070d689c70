"""The tables of the page."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from functools import cached_property
from pathlib import Path

from scale_experiments.capacity.formatting import mechanism_text, quantity, size_text, table
from scale_experiments.capacity.model import Book, NotMeasured
from scale_experiments.capacity.paths import RESULTS
from scale_experiments.capacity.schema import MISSING, Capacity, Comparison, Failure, Line, Unit
from scale_experiments.expression import Expression
from scale_experiments.fit import BEYOND
from scale_experiments.fitting.least_squares import fit_form
from scale_experiments.fitting.model import Fit, FitError, Form, describe_slopes
from scale_experiments.fitting.observations import NEAR, PAIR, Size, points_of, varying
from scale_experiments.fitting.selection import best_fit
from scale_experiments.number_format import number
from scale_experiments.results import Result
from scale_experiments.target import Target

BROKEN_THERE, HELD_THERE = "broken where measured", "not broken where measured"


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
