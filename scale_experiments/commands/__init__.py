"""The commands `fit` and `report`, which read results."""
