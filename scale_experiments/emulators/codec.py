"""Encodes messages of the control channel as JSON objects, and decodes them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import MISSING, fields, is_dataclass
from typing import Any, ClassVar, Protocol, TypeVar

# keys of a field's metadata: its name in JSON, and the function that decodes its value
KEY = "key"
DECODE = "decode"

Message = TypeVar("Message")
ReplyT_co = TypeVar("ReplyT_co", covariant=True)


class CommandError(ValueError):
    """A command whose name the emulator does not know."""


class Command(Protocol[ReplyT_co]):
    """A message that an experiment sends to an emulator."""

    @property
    def do(self) -> str:
        """The name of the command in JSON."""
        ...

    @property
    def reply_type(self) -> type[ReplyT_co]:
        """The class of the reply to it."""
        ...


class NamedCommand(Protocol):
    """A class of commands that has one name in JSON."""

    do: ClassVar[str]


def types_by_name(*command_types: type[NamedCommand]) -> dict[str, type[NamedCommand]]:
    """The classes of an emulator's commands by their names in JSON."""
    return {command_type.do: command_type for command_type in command_types}


def encode(message: object) -> Any:
    """A message as a JSON object; fields that are None are left out."""
    if isinstance(message, dict):
        return {key: encode(value) for key, value in message.items()}
    if not is_dataclass(message):
        return message
    values = {each.metadata.get(KEY, each.name): getattr(message, each.name) for each in fields(message)}
    return {key: encode(value) for key, value in values.items() if value is not None}


def encode_command(command: Command[Any]) -> dict[str, Any]:
    """A command as a JSON object, with its name under `do`."""
    return {"do": command.do, **encode(command)}


def decode(message_type: type[Message], message: Mapping[str, Any]) -> Message:
    """A message from its JSON object; unknown keys are ignored.

    Raises:
        KeyError: A field has neither a value nor a default.
    """
    values: dict[str, Any] = {}
    for each in fields(message_type):  # type: ignore[arg-type]
        key = each.metadata.get(KEY, each.name)
        if key not in message and each.default is not MISSING:
            continue
        value = message[key]
        values[each.name] = each.metadata[DECODE](value) if DECODE in each.metadata else value
    return message_type(**values)


def decode_command(command_types: Mapping[str, type[Any]], message: Mapping[str, Any]) -> Any:
    """A command from its JSON object; `command_types` has the classes of an emulator's commands by name.

    Raises:
        CommandError: The command's name is unknown.
        KeyError: The command has no name, or a field has neither a value nor a default.
    """
    name = message["do"]
    if name not in command_types:
        raise CommandError(f"no such command: {name}")
    return decode(command_types[name], message)
