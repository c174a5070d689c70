"""Reading of input files, and one-line error messages for invalid ones."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from pydantic import BaseModel, ValidationError


class InputError(ValueError):
    """Raised for invalid input; the message is one line that names the file and the field."""


def field_path(path: tuple[int | str, ...]) -> str:
    """Format the path of a field, such as `sizes[0].caches`."""
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}" if text else part
    return text


def describe_validation_error(
    file: Path,
    error: ValidationError,
    table_path: tuple[int | str, ...] = (),
    schema: type[BaseModel] | None = None,
) -> str:
    """Describe the first error of a validation in one line.

    `table_path` is the path of the validated table in the file. `schema` is that of the table; its keys are
    listed if the error is an unknown key.
    """
    # an unknown key is reported before a missing one, because it is often a misspelling of the missing key
    first = min(error.errors(include_url=False), key=lambda e: e["type"] != "extra_forbidden")
    path = first["loc"]
    field = field_path((*table_path, *path)) or "file"
    given = "" if first["type"] == "missing" else f", not {first['input']!r}"[:60]
    reason = first["msg"].removeprefix("Value error, ")
    if first["type"] == "extra_forbidden":
        given, reason = "", "is not a known key"
        if schema is not None and len(path) == 1:
            keys = (field.alias or name for name, field in schema.model_fields.items())
            reason += f"; known keys are {', '.join(keys)}"
    return f"{file}: {field}: {reason}{given}".replace("\n", " ")


def read_toml(file: Path) -> dict[str, Any]:
    """Read a TOML file; raises InputError if it can't be read or is malformed."""
    try:
        return tomllib.loads(file.read_text(encoding="utf-8"))
    except OSError as e:
        raise InputError(f"{file}: file: {e.strerror or e}") from e
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as e:
        raise InputError(f"{file}: file: must be TOML: {e}".replace("\n", " ")) from e
