"""Encodes messages of the control channel as JSON objects, and decodes them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import MISSING, fields, is_dataclass
from typing import Any, ClassVar, Protocol, TypeVar

# Keys of a field's metadata, for the field's key in JSON and for the function that decodes its value.
JSON_KEY = "key"
DECODER = "decode"

Message = TypeVar("Message")
ReplyT_co = TypeVar("ReplyT_co", covariant=True)


class UnknownCommandError(ValueError):
    """A command with a name that the emulator does not know."""


class Command(Protocol[ReplyT_co]):
    """A message that an experiment sends to an emulator."""

    @property
    def do(self) -> str:
        """Name of the command in JSON."""
        ...

    @property
    def reply_type(self) -> type[ReplyT_co]:
        """Class of the reply to the command."""
        ...


class NamedCommand(Protocol):
    """A class whose commands all have the same name in JSON."""

    do: ClassVar[str]


def types_by_name(*command_types: type[NamedCommand]) -> dict[str, type[NamedCommand]]:
    """Map the name of each command in JSON to the command's class."""
    return {command_type.do: command_type for command_type in command_types}


def encode(message: object) -> Any:
    """Encode a message as a JSON object without the fields that are None; return other values unchanged."""
    if isinstance(message, dict):
        return {key: encode(value) for key, value in message.items()}
    if not is_dataclass(message):
        return message
    values = {
        field.metadata.get(JSON_KEY, field.name): getattr(message, field.name) for field in fields(message)
    }
    return {key: encode(value) for key, value in values.items() if value is not None}


def encode_command(command: Command[Any]) -> dict[str, Any]:
    """Return a command as a JSON object, with its name under the key `do`."""
    return {"do": command.do, **encode(command)}


def decode(message_type: type[Message], message: Mapping[str, Any]) -> Message:
    """Return the message that a JSON object encodes; unknown keys are ignored.

    Raises:
        KeyError: The object lacks a field that has no default.
    """
    values: dict[str, Any] = {}
    for field in fields(message_type):  # type: ignore[arg-type]
        key = field.metadata.get(JSON_KEY, field.name)
        if key not in message and field.default is not MISSING:
            continue
        value = message[key]
        values[field.name] = field.metadata[DECODER](value) if DECODER in field.metadata else value
    return message_type(**values)


def decode_command(command_types: Mapping[str, type[Any]], message: Mapping[str, Any]) -> Any:
    """Return the command that a JSON object encodes; `command_types` maps names to classes of commands.

    Raises:
        UnknownCommandError: The command's name is unknown.
        KeyError: The object lacks the name of the command, or a field that has no default.
    """
    name = message["do"]
    if name not in command_types:
        raise UnknownCommandError(f"no such command: {name}")
    return decode(command_types[name], message)
