"""Helpers that tests share: the driver of the decisions, loopback peers and router processes."""
