"""The commands that read results: `fit` and `report`."""
