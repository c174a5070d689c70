"""Small arithmetic expressions over named numbers; nothing else is evaluated."""

from __future__ import annotations

import ast
import math
import operator
from collections.abc import Callable

MAX_LENGTH = 400  # characters
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


class ExpressionError(ValueError):
    """An expression that can't be used; the message says why."""


class Expression:
    """An expression of numbers, names, + - * / **, brackets and the functions min, max, sqrt, exp and log."""

    def __init__(self, text: str) -> None:
        self.text = text
        if len(text) > MAX_LENGTH:
            raise ExpressionError(f"longer than {MAX_LENGTH} characters")
        try:
            self.tree = ast.parse(text, mode="eval").body
        except (SyntaxError, ValueError, RecursionError) as e:
            raise ExpressionError(f"not an expression: {text!r}") from e
        self.names: set[str] = set()  # that it needs
        self._check(self.tree)

    def _check(self, node: ast.AST) -> None:
        match node:
            case ast.Constant(value=bool()):
                pass
            case ast.Constant(value=int() | float()):
                return None
            case ast.Name(id=name):
                self.names.add(name)
                return None
            case ast.UnaryOp(op=ast.USub() | ast.UAdd(), operand=operand):
                return self._check(operand)
            case ast.BinOp(left=left, op=op, right=right) if type(op) in OPERATORS:
                self._check(left)
                return self._check(right)
            case ast.Call(func=ast.Name(id=name), args=args, keywords=[]) if name in FUNCTIONS and args:
                for arg in args:
                    self._check(arg)
                return None
        raise ExpressionError(f"{ast.unparse(node) if isinstance(node, ast.expr) else node!r} is not allowed")

    def value(self, lookup: Callable[[str], float]) -> float:
        """Its value, with each name looked up; raises ExpressionError where arithmetic fails."""
        return self._value(self.tree, lookup)

    def _value(self, node: ast.AST, lookup: Callable[[str], float]) -> float:
        match node:
            case ast.Constant(value=int() | float() as number):
                return float(number)
            case ast.Name(id=name):
                return float(lookup(name))
            case ast.UnaryOp(op=op, operand=operand):
                value = self._value(operand, lookup)
                return -value if isinstance(op, ast.USub) else value
            case ast.BinOp(left=left, op=op, right=right):
                return self._apply(OPERATORS[type(op)], self._value(left, lookup), self._value(right, lookup))
            case ast.Call(func=ast.Name(id=name), args=args):
                return self._apply(FUNCTIONS[name], *(self._value(a, lookup) for a in args))
        raise ExpressionError(f"{self.text!r} can't be evaluated")

    def _apply(self, function: Callable[..., float], *values: float) -> float:
        try:
            return float(function(*values))
        except (ArithmeticError, ValueError, TypeError) as e:
            raise ExpressionError(f"{self.text!r}: {e}") from e
