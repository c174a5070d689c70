"""Tests of the rules that apply to the sources and the pages as a whole."""
