"""Emulators of what surrounds the routers, written from the protocol; each runs as a process of its own."""
