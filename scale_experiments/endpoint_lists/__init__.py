"""Endpoint lists of any size, and sequences of changes of them."""
