"""Fixtures and plugins that all tests share."""

import pytest

pytest.register_assert_rewrite("tests.support.router_rules")

pytest_plugins = ["pytester", "tests.support.coroutine_tests", "tests.support.known_red"]
