"""The places of tables on a page, between markers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from scale_experiments.experiment import InputError


def replace_tables(page: str, parts: Mapping[str, Sequence[str]], name: str) -> str:
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
