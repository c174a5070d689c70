"""The runbook, the architecture page and the configuration page: their text, code spans and tables."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
DOCS = ROOT / "docs"
PACKAGE = ROOT / "cache_router"
PAGES = {name: (DOCS / name).read_text() for name in ("RUNBOOK.md", "ARCHITECTURE.md")}
RUNBOOK = PAGES["RUNBOOK.md"]
ARCHITECTURE = PAGES["ARCHITECTURE.md"]
CONFIGURATION = (DOCS / "CONFIGURATION.md").read_text()


def normalize(text: str) -> str:
    """Remove the code blocks of a page, and replace each run of white space by one space."""
    return re.sub(r"\s+", " ", re.sub(r"```.*?```", "", text, flags=re.DOTALL))


def code_spans(text: str) -> list[str]:
    """Return the text of each code span of a page."""
    return re.findall(r"`([^`]+)`", normalize(text))


def table_rows(text: str, header: str) -> list[list[str]]:
    """Return the cells of each row of all tables that have this header, such as `| message | module |`."""
    rows: list[list[str]] = []
    is_inside = False
    for line in (line.strip() for line in text.splitlines()):
        if line == header:
            is_inside = True
        elif not line.startswith("|"):
            is_inside = False
        elif is_inside and not line.startswith("| ---"):
            rows.append([cell.strip() for cell in line.strip("|").split(" | ")])
    return rows


def configuration_rows() -> dict[str, tuple[str, str]]:
    """Return the term and the unit of each key of the configuration page."""
    rows = [line.strip("| ").split(" | ") for line in CONFIGURATION.splitlines() if line.startswith("| `")]
    return {row[0].strip("`"): (row[1].strip("`"), row[2].strip("`")) for row in rows}


CONFIGURATION_ROWS = configuration_rows()


def configuration_row(key: str) -> tuple[str, str] | None:
    """Return the term and the unit of a key; other pages omit its leading `settings.`."""
    return CONFIGURATION_ROWS.get(f"settings.{key}") or CONFIGURATION_ROWS.get(key)
