"""Base class of the exceptions that this package defines."""

from __future__ import annotations


class RouterError(Exception):
    """Base class of errors whose cause is an input or a peer, not a fault of this program.

    Each subclass is defined in the module that it concerns: ConfigError, SettingsError, WireError (malformed
    input from the simulator), EndpointListError, AddressError, CommandError (invalid command of a client),
    RespError, HttpError and MalformedResponseError (malformed response of a server). An error about a
    malformed value is a `ValueError` as well. `str()` of an error is one line for an operator.

    Attributes:
        where: name of the field, variable or kind of message at fault; empty if it has no name.
    """

    def __init__(self, message: str, where: str = "") -> None:
        """Create an error; `message` is the line for an operator, and contains `where`."""
        super().__init__(message)
        self.where = where
