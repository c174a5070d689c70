"""Least-squares fits of measured metrics over the sizes at which they were measured."""
