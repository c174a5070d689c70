"""Tests of the network code, on loopback."""
