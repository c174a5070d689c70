"""Tests of the routers under test."""
