"""The base of the package's own errors."""

from __future__ import annotations


class RouterError(Exception):
    """An input or a peer that this program cannot work with.

    Each subclass is in the module that raises it: ConfigError, SettingsError, WireError (the simulator's
    wire), EndpointListError, AddressError, CommandError (of a client), RespError, HttpError and
    MalformedResponseError (of a server). An error about a malformed value is a `ValueError` as well. `str()`
    of an error is one line for an operator.

    Attributes:
        where: the field, variable or kind of message at fault; empty if it has no name.
    """

    def __init__(self, message: str, where: str = "") -> None:
        """Create an error; `message` is the line for an operator, and names `where`."""
        super().__init__(message)
        self.where = where
