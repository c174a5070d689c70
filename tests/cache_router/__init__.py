"""Tests of the router, in the layout of its package."""
