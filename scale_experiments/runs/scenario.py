"""The definition of a scenario, which is a kind of measurement that an experiment can name."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Generic, TypeAlias, TypeVar

from pydantic import BaseModel, BeforeValidator

from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.sample import Sample

ParametersT = TypeVar("ParametersT", bound=BaseModel)
SizeT = TypeVar("SizeT", bound=BaseModel)

WholeNumber = Annotated[int, BeforeValidator(int)]  # a column of a size; fractions are cut off


@dataclass(slots=True, frozen=True, kw_only=True)
class Scenario(Generic[ParametersT, SizeT]):
    """One kind of measurement: the schemas of its input, what it measures, and the function that measures.

    `measure` takes the parameters, a size, a seed and the context of the run. It returns early, without a
    sample, once the time limit of the context has passed.
    """

    # for people: a summary line, and details after an empty line
    description: str
    # the schema of `[parameters]`
    parameters: type[ParametersT]
    # the schema of each of `[[sizes]]`
    size: type[SizeT]
    # by name, whose suffix is the unit
    metric_descriptions: Mapping[str, str]
    measure: Callable[[ParametersT, SizeT, int, ExperimentContext], Iterator[Sample]]


# a scenario together with parameters and sizes that its own schemas have checked
AnyScenario: TypeAlias = Scenario[Any, Any]
