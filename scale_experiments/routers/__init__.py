"""Routers under test: real processes, and hollow routers that only watch discovery."""
