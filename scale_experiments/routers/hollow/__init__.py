"""Hollow routers, as one process."""
