"""Emulators of the routers' clients and servers, written from the protocol; each runs in its own process."""
