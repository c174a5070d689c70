"""Fits of measured metrics against the fleet sizes at which they were measured."""
