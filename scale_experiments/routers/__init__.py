"""Routers under test: complete router processes, and hollow routers, which only watch discovery."""
