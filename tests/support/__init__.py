"""Shared test helpers, among them a driver of the decisions, loopback peers and router processes."""
