"""Tests of the rules that hold for the sources and pages as a whole."""
