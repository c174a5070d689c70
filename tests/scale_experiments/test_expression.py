"""Expressions: their values, the syntax that is rejected, and arithmetic errors."""

from __future__ import annotations

import pytest

from scale_experiments.expression import MAX_LENGTH, Expression, ExpressionError


def test_an_expression_is_evaluated_with_the_values_of_its_names() -> None:
    expression = Expression("-min(a, b) ** 2 + max(1, 2.5) * (a - b) / 2")
    assert expression.names == {"a", "b"}
    assert expression.value({"a": 3.0, "b": 4.0}.__getitem__) == -9 + 2.5 * (3 - 4) / 2


@pytest.mark.parametrize(
    "text",
    [
        "a +",
        "True",
        "'a'",
        "a.b",
        "a[0]",
        "a if b else c",
        "a // b",
        "not a",
        "open(a)",
        "min()",
        "min(*a)",
        "f()",
    ],
)
def test_other_python_syntax_is_rejected(text: str) -> None:
    with pytest.raises(ExpressionError):
        Expression(text)


def test_an_expression_that_is_too_long_is_rejected() -> None:
    Expression("1" * MAX_LENGTH)
    with pytest.raises(ExpressionError, match=str(MAX_LENGTH)):
        Expression("1" * (MAX_LENGTH + 1))


@pytest.mark.parametrize("text", ["1 / a", "log(a)", "sqrt(a - 1)", "10.0 ** 1000", "min(1)"])
def test_arithmetic_that_fails_names_the_expression(text: str) -> None:
    with pytest.raises(ExpressionError) as failed:
        Expression(text).value(lambda name: 0.0)
    assert str(failed.value).startswith(repr(text))
