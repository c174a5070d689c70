"""Running an experiment: its file, its context, its log and its results."""
