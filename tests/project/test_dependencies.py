"""The pinned requirements contain the dependencies that pyproject.toml declares, and no others."""

from __future__ import annotations

import tomllib
from pathlib import Path

import pytest
from packaging.requirements import Requirement

ROOT = Path(__file__).parents[2]
PROJECT = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
DECLARED = {
    "requirements.txt": PROJECT["dependencies"],
    "requirements-scale.txt": PROJECT["optional-dependencies"]["scale"],
    "requirements-dev.txt": PROJECT["optional-dependencies"]["dev"],
}
INCLUDED = {
    "requirements.txt": set(),
    "requirements-scale.txt": {"requirements.txt"},
    "requirements-dev.txt": {"requirements.txt", "requirements-scale.txt"},
}


def read_lines(name: str) -> list[str]:
    """Return the lines of a requirements file that are neither blank nor comments."""
    lines = (line.strip() for line in (ROOT / name).read_text().splitlines())
    return [line for line in lines if line and not line.startswith("#")]


@pytest.mark.parametrize("name", DECLARED)
def test_pinned_versions_satisfy_the_declared_ones(name: str) -> None:
    declared = {each.name: each.specifier for each in map(Requirement, DECLARED[name])}
    pinned = [Requirement(line) for line in read_lines(name) if not line.startswith("-r ")]
    assert sorted(each.name for each in pinned) == sorted(declared)
    for each in pinned:
        (version,) = each.specifier
        assert version.operator == "==", f"{each.name} is not pinned"
        assert declared[each.name].contains(version.version), each.name


@pytest.mark.parametrize("name", INCLUDED)
def test_requirements_include_those_that_they_build_on(name: str) -> None:
    included = {line.removeprefix("-r ") for line in read_lines(name) if line.startswith("-r ")}
    assert included == INCLUDED[name]
