"""The commands `fit` and `report`, which evaluate results."""
