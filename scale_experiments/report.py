"""Writes the tables of docs/CAPACITY.md from kept results and from the lines of `capacity.toml`.

A line is something that a role has to carry: what it takes at a size, worked out by a small expression from
metrics that were measured and fitted, figures that the operators gave, and assumptions; what it may take; and
the module and function that carries it. Its break is the size on the straight line from today's fleet to the
target, and beyond, at which it first takes more than it may.
"""

from __future__ import annotations

import sys
from pathlib import Path

from scale_experiments.capacity.markers import replace_tables
from scale_experiments.capacity.page import Page
from scale_experiments.capacity.paths import CAPACITY_PAGE, CAPACITY_TABLE, RESULTS_FOLDER, ROOT, TARGET_FILE
from scale_experiments.capacity.schema import read_capacity
from scale_experiments.experiment import InputError
from scale_experiments.expression import ExpressionError
from scale_experiments.fitting.forms import FitError
from scale_experiments.target import load_target


def render(root: Path = ROOT) -> tuple[str, str]:
    """The page as it is and as the results give it."""
    page = Page(read_capacity(root / CAPACITY_TABLE), load_target(root / TARGET_FILE), root / RESULTS_FOLDER)
    kept = (root / CAPACITY_PAGE).read_text()
    return kept, replace_tables(kept, page.parts, str(CAPACITY_PAGE))


def main(check: bool, root: Path = ROOT) -> int:
    """Write the tables, or with `check` compare only. 0; 1 where page and results differ; 2 for bad input."""
    try:
        kept, wanted = render(root)
    except (ExpressionError, FitError) as e:
        print(f"{CAPACITY_TABLE}: {e}", file=sys.stderr)
        return 2
    except (InputError, OSError) as e:
        print(e, file=sys.stderr)
        return 2
    if not check:
        (root / CAPACITY_PAGE).write_text(wanted)
        return 0
    if kept == wanted:
        return 0
    old, new = kept.splitlines(), wanted.splitlines()
    at = next((i for i, (a, b) in enumerate(zip(old, new, strict=False)) if a != b), min(len(old), len(new)))
    have, want = (x[at] if at < len(x) else "(end)" for x in (old, new))
    print(
        f"scale_experiments report: {CAPACITY_PAGE}:{at + 1}: the page has {have!r},"
        f" the results give {want!r}",
        file=sys.stderr,
    )
    return 1
