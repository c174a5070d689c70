"""Runs of experiments: experiment files, the context of a run, its log and its results."""
