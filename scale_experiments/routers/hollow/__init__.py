"""Hollow routers, several hundred in one process: the router's own watch over a real socket, without clients.

`__main__` is the command, `fleet` carries out the commands of its control channel, `router` is one router,
`minimal_discovery` its watch in the mode "index", and `update_times` records when routers had an index.
"""
