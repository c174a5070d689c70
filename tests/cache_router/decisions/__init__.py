"""Tests of the decisions, without sockets."""
