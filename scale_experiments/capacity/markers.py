"""Replaces the tables of a page between markers in comments."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from scale_experiments.runs.input_files import InputError

START_PREFIX = "<!-- table: "
START_SUFFIX = " -->"
END = "<!-- end -->"


def replace_tables(page: str, tables: Mapping[str, Sequence[str]], page_name: str) -> str:
    """The page with new lines between the markers of each table.

    Raises: InputError, with the page's name and the line, if a table is missing, unknown or duplicated, or
    has no end marker.
    """
    lines: list[str] = []
    current: str | None = None
    found: set[str] = set()
    for number, line in enumerate(page.splitlines(), 1):
        table = _started_table(line)
        if table is not None:
            if problem := _problem_of_start(table, current, found, tables):
                raise InputError(f"{page_name}:{number}: {problem}")
            current = table
            found.add(table)
            lines += [line, *tables[table]]
        elif line.strip() == END:
            if current is None:
                raise InputError(f"{page_name}:{number}: {END} must follow the start of a table")
            current = None
            lines.append(line)
        elif current is None:
            lines.append(line)
    _check_complete(current, found, tables, page_name)
    return "\n".join(lines) + "\n"


def _started_table(line: str) -> str | None:
    """The name of the table that a line starts; None if it starts none."""
    text = line.strip()
    if text.startswith(START_PREFIX) and text.endswith(START_SUFFIX):
        return text.removeprefix(START_PREFIX).removesuffix(START_SUFFIX)
    return None


def _problem_of_start(
    table: str, current: str | None, found: Collection[str], tables: Collection[str]
) -> str | None:
    """Why a table can't start here; None if it can."""
    if current is not None:
        return f"table {table!r} must start after the end of table {current!r}"
    if table not in tables:
        return f"table {table!r} is not known; must be one of {', '.join(sorted(tables))}"
    if table in found:
        return f"table {table!r} must start once, and has started before"
    return None


def _check_complete(
    current: str | None, found: Collection[str], tables: Collection[str], page_name: str
) -> None:
    if current is not None:
        raise InputError(f"{page_name}: table {current!r} must end with {END}")
    missing = sorted(set(tables) - set(found))
    if missing:
        raise InputError(f"{page_name}: must have {START_PREFIX}{missing[0]}{START_SUFFIX}, which is missing")
