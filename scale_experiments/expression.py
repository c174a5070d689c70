"""Arithmetic expressions over named numbers; other Python expressions are rejected."""

from __future__ import annotations

import ast
import math
import operator
from collections.abc import Callable

MAX_LENGTH = 400  # maximum length of an expression in characters
OPERATORS: dict[type[ast.operator], Callable[[float, float], float]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.Pow: math.pow,
}
FUNCTIONS: dict[str, Callable[..., float]] = {
    "min": min,
    "max": max,
    "sqrt": math.sqrt,
    "exp": math.exp,
    "log": math.log,
}
ALLOWED_SYNTAX = f"numbers, names, + - * / **, parentheses and the functions {', '.join(FUNCTIONS)}"


class ExpressionError(ValueError):
    """Raised for an expression that can't be parsed or evaluated; the message gives the reason."""


class Expression:
    """An expression of numbers, names, + - * / **, parentheses and the functions min, max, sqrt, exp and log.

    `text` is the source, and `names` are the names whose values the expression needs.
    """

    def __init__(self, text: str) -> None:
        """Parse an expression; raises ExpressionError if it is too long or contains any other syntax."""
        self.text = text
        if len(text) > MAX_LENGTH:
            raise ExpressionError(f"must have at most {MAX_LENGTH} characters")
        try:
            self._tree = ast.parse(text, mode="eval").body
        except (SyntaxError, ValueError, RecursionError) as e:
            raise ExpressionError("must be an arithmetic expression") from e
        self.names: set[str] = set()
        self._check(self._tree)

    def value(self, lookup: Callable[[str], float]) -> float:
        """Evaluate the expression; `lookup` returns the value of a name.

        Raises ExpressionError if the arithmetic fails, such as for a division by 0.
        """
        return self._evaluate(self._tree, lookup)

    def _check(self, node: ast.AST) -> None:
        """Collect the names in a subtree; raises ExpressionError for nodes that are not allowed."""
        match node:
            case ast.Constant(value=int() | float() as number) if not isinstance(number, bool):
                return
            case ast.Name(id=name):
                self.names.add(name)
                return
            case ast.UnaryOp(op=ast.USub() | ast.UAdd(), operand=operand):
                self._check(operand)
                return
            case ast.BinOp(left=left, op=op, right=right) if type(op) in OPERATORS:
                self._check(left)
                self._check(right)
                return
            case ast.Call(func=ast.Name(id=name), args=args, keywords=[]) if name in FUNCTIONS and args:
                for arg in args:
                    self._check(arg)
                return
        source = ast.unparse(node) if isinstance(node, ast.expr) else repr(node)
        raise ExpressionError(f"{source} is not allowed; must consist of {ALLOWED_SYNTAX}")

    def _evaluate(self, node: ast.AST, lookup: Callable[[str], float]) -> float:
        match node:
            case ast.Constant(value=int() | float() as number):
                return float(number)
            case ast.Name(id=name):
                return float(lookup(name))
            case ast.UnaryOp(op=op, operand=operand):
                value = self._evaluate(operand, lookup)
                return -value if isinstance(op, ast.USub) else value
            case ast.BinOp(left=left, op=op, right=right):
                operands = self._evaluate(left, lookup), self._evaluate(right, lookup)
                return self._apply(OPERATORS[type(op)], *operands)
            case ast.Call(func=ast.Name(id=name), args=args):
                return self._apply(FUNCTIONS[name], *(self._evaluate(arg, lookup) for arg in args))
        raise ExpressionError(f"{self.text!r} can't be evaluated")

    def _apply(self, function: Callable[..., float], *values: float) -> float:
        try:
            return float(function(*values))
        except (ArithmeticError, ValueError, TypeError) as e:
            raise ExpressionError(f"{self.text!r}: {e}") from e
