"""Errors of the simulation: a decision module did not give each request exactly one final answer."""

from __future__ import annotations


class SimulationError(Exception):
    """Base class of the errors that stop a simulation."""


class DuplicateAnswerError(SimulationError):
    """A request received a second final answer."""

    def __init__(self, request_id: str) -> None:
        super().__init__(f"request {request_id} received a second final answer")


class MissingAnswerError(SimulationError):
    """A request received no final answer by its deadline."""

    def __init__(self, request_id: str) -> None:
        super().__init__(f"request {request_id} received no final answer by its deadline")
