"""Tests of scenarios and their parts."""
