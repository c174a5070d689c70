"""Simulation of a fleet of routers with their decision modules, in front of modelled cache servers."""
