"""Tests of what is measured."""
