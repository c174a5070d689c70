"""The router's sockets: clients, cache servers, the origin and discovery; the decision module has none."""
