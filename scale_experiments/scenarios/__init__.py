"""What an experiment can measure; each module is a kind, with `Parameters`, `METRICS` and `measure`."""
