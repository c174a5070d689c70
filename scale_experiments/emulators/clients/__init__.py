"""Clients of routers, as one process."""
