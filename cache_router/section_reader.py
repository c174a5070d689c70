"""Reads the fields of a JSON object, with errors that name the field by its path."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TypeVar

from cache_router.settings import SettingsError

Choice = TypeVar("Choice")


class SectionReader:
    """Reads the fields of one JSON object; its errors name the field with the path to it.

    A field that is absent or null takes its default. A field that nothing reads is ignored.
    """

    __slots__ = ("_path", "_values")

    def __init__(self, values: Mapping[str, object], path: str = "") -> None:
        """Read from `values`; `path` is the prefix of field names in errors, with a trailing dot."""
        self._values = values
        self._path = path

    def value(self, field: str) -> object:
        """Return the decoded JSON value of a field, not validated; None if the field is absent or null."""
        return self._values.get(field)

    def number(self, field: str, default: float, minimum: float = 0.0) -> float:
        """Return a number; it is an int or a float, as in the JSON.

        Raises:
            SettingsError: the value is not a number, or is less than `minimum`.
        """
        value = self._values.get(field)
        if value is None:
            return default
        if isinstance(value, bool) or not isinstance(value, (int, float)) or value < minimum:
            raise self.field_error(field, f"must be a number of at least {minimum:g}, not {value!r}")
        return value

    def flag(self, field: str) -> bool:
        """Return a flag; false if the field is absent.

        Raises:
            SettingsError: the value is neither true nor false.
        """
        value = self._values.get(field)
        if value not in (None, False, True):
            raise self.field_error(field, f"must be true or false, not {value!r}")
        return bool(value)

    def choice(self, field: str, default: str, choices: Mapping[str, Choice]) -> Choice:
        """Return the value that `choices` has for the key in the field, or for `default` if it is absent.

        Raises:
            SettingsError: the value is not a key of `choices`.
        """
        value = self._values.get(field)
        key = default if value is None else value
        if not isinstance(key, str) or key not in choices:
            raise self.field_error(field, f"must be one of {', '.join(choices)}, not {key!r}")
        return choices[key]

    def names(self, field: str) -> tuple[str, ...]:
        """Return a list of names; empty if the field is absent.

        Raises:
            SettingsError: the value is not a list of strings.
        """
        value = self._values.get(field)
        names = [] if value is None else value
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
            raise self.field_error(field, f"must be a list of names, not {names!r}")
        return tuple(names)

    def section(self, field: str) -> SectionReader:
        """Return the reader of a nested object, which is empty if the field is absent.

        Raises:
            SettingsError: the value is not an object.
        """
        value = self._values.get(field)
        section = {} if value is None else value
        if not isinstance(section, dict):
            raise self.field_error(field, f"must be an object, not {section!r}")
        return SectionReader(section, f"{self._path}{field}.")

    def named_sections(self, field: str) -> dict[str, SectionReader]:
        """Return the readers of a list of objects by the objects' `name`; empty if the field is absent.

        Raises:
            SettingsError: the value is not a list of objects, or a name is missing, not a string or a
                duplicate.
        """
        value = self._values.get(field)
        rows = [] if value is None else value
        if not isinstance(rows, list) or not all(isinstance(row, dict) for row in rows):
            raise self.field_error(field, "must be a list of objects")
        sections: dict[str, SectionReader] = {}
        for index, row in enumerate(rows):
            name = row.get("name")
            if not isinstance(name, str):
                raise self.field_error(f"{field}[{index}].name", "is missing")
            if name in sections:
                raise self.field_error(f"{field}[{index}].name", f"is there twice: {name!r}")
            sections[name] = SectionReader(row, f"{self._path}{field}[{name}].")
        return sections

    def field_error(self, field: str, reason: str) -> SettingsError:
        """Create the error for a field of this section."""
        return SettingsError(f"settings: {self._path}{field} {reason}", where=f"{self._path}{field}")
