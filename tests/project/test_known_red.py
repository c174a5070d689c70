"""The list of tests that fail because of a known fault and are deselected."""

from __future__ import annotations

import pytest

from tests.support.known_red import KNOWN_RED, read_known_red


def test_list_names_a_test_in_each_line() -> None:
    listed = "tests/a.py::test_a: a fault, issue 1\ntests/b.py::test_b: another, issue 2\n"
    assert read_known_red(listed) == ["tests/a.py::test_a", "tests/b.py::test_b"]


@pytest.mark.parametrize("listed", ["tests/a.py: a file", "tests/a.py::test_a", "x::y: z\n" * 4])
def test_line_without_test_or_cause_and_a_fourth_line_are_rejected(listed: str) -> None:
    with pytest.raises(pytest.UsageError):
        read_known_red(listed)


def test_listed_tests_exist() -> None:
    for test in read_known_red(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []:
        path, _, name = test.partition("::")
        assert f"def {name}(" in (KNOWN_RED.parent / path).read_text()
