"""The command `report`: writes the tables of docs/CAPACITY.md, or checks them.

The tables are computed from stored results and from capacity.toml. An entry of capacity.toml states the load
of a role, its budget, and the code that carries the load. The load is a formula of fitted metrics and of
given or assumed figures. The breaking point of an entry is the size at which the load first exceeds the
budget, on the straight line from today's fleet to the target and beyond.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from itertools import zip_longest
from pathlib import Path

from scale_experiments.capacity.markers import replace_tables
from scale_experiments.capacity.page import page_tables
from scale_experiments.capacity.paths import CAPACITY_PAGE, CAPACITY_TABLE, RESULTS_FOLDER, ROOT, TARGET_FILE
from scale_experiments.capacity.reader import read_capacity
from scale_experiments.commands.exit_status import ExitStatus
from scale_experiments.expression import ExpressionError
from scale_experiments.fitting.forms import FitError
from scale_experiments.runs.input_files import InputError
from scale_experiments.target import load_target

END_OF_PAGE = "(end)"  # shown in place of a line beyond the end of the shorter text


@dataclass(slots=True, frozen=True)
class RenderedPage:
    """The text of the page in the repository, and the text that follows from the results."""

    current: str
    expected: str


def render_page(root: Path = ROOT) -> RenderedPage:
    """Compute the page of the repository at a root folder.

    Raises: InputError, ExpressionError, FitError or OSError if the page or one of its sources can't be used.
    """
    table = read_capacity(root / CAPACITY_TABLE)
    tables = page_tables(table, load_target(root / TARGET_FILE), root / RESULTS_FOLDER)
    current = (root / CAPACITY_PAGE).read_text()
    return RenderedPage(current, replace_tables(current, tables, str(CAPACITY_PAGE)))


def describe_first_difference(page: RenderedPage) -> str:
    """Describe the first line in which the current page differs from the expected page."""
    pairs = zip_longest(page.current.splitlines(), page.expected.splitlines(), fillvalue=END_OF_PAGE)
    for number, (current, expected) in enumerate(pairs, 1):
        if current != expected:
            return f"{CAPACITY_PAGE}:{number}: the page has {current!r}, the results give {expected!r}"
    return f"{CAPACITY_PAGE}: the page and the results differ only in line endings"


def main(check: bool, root: Path = ROOT) -> ExitStatus:
    """Write the tables, or only compare them if `check` is set, and return the exit status."""
    try:
        page = render_page(root)
    except (ExpressionError, FitError) as e:
        print(f"{CAPACITY_TABLE}: {e}", file=sys.stderr)
        return ExitStatus.BAD_INPUT
    except (InputError, OSError) as e:
        print(e, file=sys.stderr)
        return ExitStatus.BAD_INPUT
    if not check:
        (root / CAPACITY_PAGE).write_text(page.expected)
        return ExitStatus.SUCCESS
    if page.current == page.expected:
        return ExitStatus.SUCCESS
    print(f"scale_experiments report: {describe_first_difference(page)}", file=sys.stderr)
    return ExitStatus.CHECK_FAILED
