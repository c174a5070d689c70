"""The base of the package's own errors."""

from __future__ import annotations


class RouterError(Exception):
    """An input or a peer that this program cannot work with.

    Subclasses say which, and stand with the module that raises them: ConfigError, SettingsError, WireError
    (the simulator's wire), EndpointListError, AddressError, CommandError (of a client), RespError, HttpError
    and MalformedResponseError (of a server). Those about values that are wrong are `ValueError`s as well.
    `str()` is one line for an operator.

    Attributes:
        where: the field, variable or kind of message at fault; empty where there is no name for it.
    """

    def __init__(self, message: str, where: str = "") -> None:
        """Take the line for the operator, which names `where` itself."""
        super().__init__(message)
        self.where = where
