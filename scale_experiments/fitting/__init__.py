"""Least-squares fits of what was measured against the sizes at which it was measured."""
