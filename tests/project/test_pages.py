"""The pages: their links, the repository paths on them, and the length of the README."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
MAX_README_LINES = 110  # two screens
FOLDERS = "cache_router|docs|tests|scale_experiments|deploy"
LINK = re.compile(r"\]\(([^)#:]+)\)")
# A path in a code span or in a command; a text with wildcards is not a path
REPOSITORY_PATH = re.compile(rf"(?<![\w./-])(?:{FOLDERS})/[\w./-]*[\w/](?![\w*])")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page: Path) -> None:
    links = LINK.findall(page.read_text())
    assert not [link for link in links if not (page.parent / link).exists()]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_paths_in_pages_exist(page: Path) -> None:
    paths = REPOSITORY_PATH.findall(page.read_text())
    assert not [path for path in paths if not (ROOT / path).exists()]


def test_each_page_is_linked_from_the_readme() -> None:
    links = set(LINK.findall((ROOT / "README.md").read_text()))
    assert {f"docs/{page.name}" for page in PAGES if page.parent.name == "docs"} <= links


def test_readme_is_short() -> None:
    assert len((ROOT / "README.md").read_text().splitlines()) <= MAX_README_LINES
