"""Tests of running experiments."""
