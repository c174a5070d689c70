"""Scenarios, which are the kinds of measurement that an experiment can name."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Generic, TypeAlias, TypeVar

from pydantic import BaseModel, BeforeValidator

from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.sample import Sample

ParametersT = TypeVar("ParametersT", bound=BaseModel)
SizeT = TypeVar("SizeT", bound=BaseModel)

WholeNumber = Annotated[int, BeforeValidator(int)]  # integer column of a size; fractions are truncated


@dataclass(slots=True, frozen=True, kw_only=True)
class Scenario(Generic[ParametersT, SizeT]):
    """One kind of measurement: the schemas of its input, its metrics, and the function that measures them.

    `measure` takes the parameters, a size, a seed and the context of the run. It returns early, without a
    sample, once the time limit of the context has passed.
    """

    # text for users: a summary line, an empty line, and details
    description: str
    # schema of `[parameters]`
    parameters: type[ParametersT]
    # schema of each entry of `[[sizes]]`
    size: type[SizeT]
    # descriptions by metric name, whose suffix is the unit
    metric_descriptions: Mapping[str, str]
    measure: Callable[[ParametersT, SizeT, int, ExperimentContext], Iterator[Sample]]


# a scenario of any schemas; its parameters and sizes have to be validated by its own schemas
AnyScenario: TypeAlias = Scenario[Any, Any]
