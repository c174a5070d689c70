"""Tests of the files that sites are deployed with."""
