"""Errors of the simulation: a decision module that breaks its contract with the clients."""

from __future__ import annotations


class SimulationError(Exception):
    """Base of the errors that stop a simulation."""


class DuplicateAnswerError(SimulationError):
    """A request got a second final answer."""

    def __init__(self, request_id: str) -> None:
        super().__init__(f"a second answer to {request_id}")


class MissingAnswerError(SimulationError):
    """A request got no final answer by its deadline."""

    def __init__(self, request_id: str) -> None:
        super().__init__(f"no answer in time to {request_id}")
