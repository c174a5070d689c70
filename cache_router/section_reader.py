"""Reads the fields of a JSON object, with errors that name the field by its path."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from cache_router.settings import SettingsError

Choice = TypeVar("Choice")


class SectionReader:
    """Reads the fields of one JSON object; its errors name the field with the path to it.

    Fields that are absent or null take their defaults, fields that nothing reads are ignored.
    """

    __slots__ = ("path", "values")

    def __init__(self, values: dict[str, Any], path: str = "") -> None:
        """Read from `values`; `path` is what stands before a field's name in errors, its dot included."""
        self.values = values
        self.path = path

    def number(self, field: str, default: float, minimum: float = 0.0) -> float:
        """A number, as it stands in the JSON.

        Raises:
            SettingsError: it is no number, or less than `minimum`.
        """
        value = self.values.get(field)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
            raise self.unusable(field, f"must be a number of at least {minimum:g}, not {value!r}")
        return value

    def flag(self, field: str) -> bool:
        """Whether something is allowed; not if absent.

        Raises:
            SettingsError: it is neither true nor false.
        """
        value = self.values.get(field)
        if value not in (None, False, True):
            raise self.unusable(field, f"must be true or false, not {value!r}")
        return bool(value)

    def choice(self, field: str, default: str, choices: Mapping[str, Choice]) -> Choice:
        """What one of a few words stands for.

        Raises:
            SettingsError: it is none of the words in `choices`.
        """
        value = self.values.get(field)
        word = default if value is None else value
        if not isinstance(word, str) or word not in choices:
            raise self.unusable(field, f"must be one of {', '.join(choices)}, not {word!r}")
        return choices[word]

    def names(self, field: str) -> tuple[str, ...]:
        """A list of names, empty if absent.

        Raises:
            SettingsError: it is no list, or one of its entries is no string.
        """
        value = self.values.get(field)
        names = [] if value is None else value
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise self.unusable(field, f"must be a list of names, not {names!r}")
        return tuple(names)

    def section(self, field: str) -> SectionReader:
        """A nested object, empty if absent.

        Raises:
            SettingsError: it is no object.
        """
        value = self.values.get(field)
        section = {} if value is None else value
        if not isinstance(section, dict):
            raise self.unusable(field, f"must be an object, not {section!r}")
        return SectionReader(section, f"{self.path}{field}.")

    def named_sections(self, field: str) -> dict[str, SectionReader]:
        """A list of objects by their `name`s, empty if absent.

        Raises:
            SettingsError: it is no list of objects, or a name is missing or repeated.
        """
        value = self.values.get(field)
        rows = [] if value is None else value
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            raise self.unusable(field, "must be a list of objects")
        sections: dict[str, SectionReader] = {}
        for index, row in enumerate(rows):
            name = row.get("name")
            if not isinstance(name, str):
                raise self.unusable(f"{field}[{index}].name", "is missing")
            if name in sections:
                raise self.unusable(f"{field}[{index}].name", f"is there twice: {name!r}")
            sections[name] = SectionReader(row, f"{self.path}{field}[{name}].")
        return sections

    def unusable(self, field: str, reason: str) -> SettingsError:
        """The error of a field of this section."""
        return SettingsError(f"settings: {self.path}{field} {reason}", where=f"{self.path}{field}")
