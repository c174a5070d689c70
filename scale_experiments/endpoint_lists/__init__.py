"""Generated endpoint lists of any size, and sequences of changes to them."""
