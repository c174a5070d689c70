"""Tests of the router, of its decisions and of the scale experiments."""
