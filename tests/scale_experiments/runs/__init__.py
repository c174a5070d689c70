"""Tests of runs of experiments."""
