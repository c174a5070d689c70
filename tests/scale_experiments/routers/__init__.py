"""Tests of the routers that experiments start."""
