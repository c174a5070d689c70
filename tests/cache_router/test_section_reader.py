"""The reader of a JSON object's fields: defaults, and errors that name the field by its path."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from cache_router.section_reader import SectionReader
from cache_router.settings import SettingsError

CHOICES = {"yes": 1, "no": 2}


@pytest.mark.parametrize("values", [{}, {"field": None}], ids=["absent", "null"])
def test_absent_and_null_fields_take_their_defaults(values: dict[str, object]) -> None:
    reader = SectionReader(values)
    assert reader.value("field") is None
    assert reader.number("field", 2.5, minimum=9.0) == 2.5
    assert reader.flag("field") is False
    assert reader.choice("field", "no", CHOICES) == 2
    assert reader.names("field") == ()
    assert reader.section("field").number("inner", 4.0) == 4.0
    assert reader.named_sections("field") == {}


def test_fields_are_read() -> None:
    values = {"size": 3, "on": True, "word": "yes", "names": ["a", "b"], "rows": [{"name": "x", "size": 7}]}
    reader = SectionReader(values)
    assert (reader.value("size"), reader.number("size", 0.0)) == (3, 3)
    assert reader.flag("on") is True
    assert reader.choice("word", "no", CHOICES) == 1
    assert reader.names("names") == ("a", "b")
    assert reader.named_sections("rows")["x"].number("size", 0.0) == 7


@pytest.mark.parametrize(
    ("value", "read"),
    [
        pytest.param("3", lambda reader: reader.number("field", 0.0), id="text for a number"),
        pytest.param(True, lambda reader: reader.number("field", 0.0), id="flag for a number"),
        pytest.param(0.5, lambda reader: reader.number("field", 0.0, minimum=1.0), id="below the minimum"),
        pytest.param(2, lambda reader: reader.flag("field"), id="number for a flag"),
        pytest.param("maybe", lambda reader: reader.choice("field", "no", CHOICES), id="unknown choice"),
        pytest.param(["yes"], lambda reader: reader.choice("field", "no", CHOICES), id="list for a choice"),
        pytest.param(["a", 1], lambda reader: reader.names("field"), id="number for a name"),
        pytest.param([], lambda reader: reader.section("field"), id="list for a section"),
        pytest.param({}, lambda reader: reader.named_sections("field"), id="section for a list"),
    ],
)
def test_error_names_the_field_by_its_path(value: object, read: Callable[[SectionReader], object]) -> None:
    outer = SectionReader({"outer": {"field": value}})
    with pytest.raises(SettingsError, match=r"^settings: outer\.field must be ") as caught:
        read(outer.section("outer"))
    assert caught.value.where == "outer.field"


def test_error_in_a_field_of_a_list_entry_names_the_entry() -> None:
    rows = SectionReader({"rows": [{"name": "x", "size": "big"}]}).named_sections("rows")
    with pytest.raises(SettingsError, match=r"^settings: rows\[x\]\.size must be a number"):
        rows["x"].number("size", 0.0)


@pytest.mark.parametrize(
    ("rows", "message"),
    [
        ([{"name": "x"}, {"name": "x"}], r"^settings: rows\[1\]\.name is there twice: 'x'$"),
        ([{}], r"^settings: rows\[0\]\.name is missing$"),
    ],
    ids=["repeated name", "absent name"],
)
def test_error_in_the_name_of_a_list_entry_names_its_index(rows: list[object], message: str) -> None:
    reader = SectionReader({"rows": rows})
    with pytest.raises(SettingsError, match=message):
        reader.named_sections("rows")
