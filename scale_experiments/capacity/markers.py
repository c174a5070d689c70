"""Replacement of the tables of a Markdown page between markers, which are comments."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence

from scale_experiments.runs.input_files import InputError

START_MARKER_PREFIX = "<!-- table: "
START_MARKER_SUFFIX = " -->"
END_MARKER = "<!-- end -->"


def replace_tables(page: str, tables: Mapping[str, Sequence[str]], page_name: str) -> str:
    """Return the page with the lines of each table between its markers.

    Raises: InputError, with the page's name and the line, if a table is missing, unknown or duplicated, or if
    a start or an end marker is missing.
    """
    lines: list[str] = []
    open_table: str | None = None
    started: set[str] = set()
    for number, line in enumerate(page.splitlines(), 1):
        table = _start_marker_table(line)
        if table is not None:
            if error := _start_marker_error(table, open_table, started, tables):
                raise InputError(f"{page_name}:{number}: {error}")
            open_table = table
            started.add(table)
            lines += [line, *tables[table]]
        elif line.strip() == END_MARKER:
            if open_table is None:
                raise InputError(f"{page_name}:{number}: {END_MARKER} must follow the start of a table")
            open_table = None
            lines.append(line)
        elif open_table is None:
            lines.append(line)
    _check_complete(open_table, started, tables, page_name)
    return "\n".join(lines) + "\n"


def _start_marker_table(line: str) -> str | None:
    """Return the name of the table if a line is a start marker; None for any other line."""
    text = line.strip()
    if text.startswith(START_MARKER_PREFIX) and text.endswith(START_MARKER_SUFFIX):
        return text.removeprefix(START_MARKER_PREFIX).removesuffix(START_MARKER_SUFFIX)
    return None


def _start_marker_error(
    table: str, open_table: str | None, started: Collection[str], tables: Collection[str]
) -> str | None:
    """Return the error of a start marker; None if the table can start there."""
    if open_table is not None:
        return f"table {table!r} must start after the end of table {open_table!r}"
    if table not in tables:
        return f"table {table!r} is not known; must be one of {', '.join(sorted(tables))}"
    if table in started:
        return f"table {table!r} must start once, but starts again here"
    return None


def _check_complete(
    open_table: str | None, started: Collection[str], tables: Collection[str], page_name: str
) -> None:
    if open_table is not None:
        raise InputError(f"{page_name}: table {open_table!r} must end with {END_MARKER}")
    missing = sorted(set(tables) - set(started))
    if missing:
        raise InputError(
            f"{page_name}: must have {START_MARKER_PREFIX}{missing[0]}{START_MARKER_SUFFIX}, which is missing"
        )
