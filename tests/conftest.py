"""Fixtures and plugins that all tests share."""

pytest_plugins = ["pytester", "tests.support.coroutine_tests", "tests.support.known_red"]
