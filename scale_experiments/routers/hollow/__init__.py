"""Hollow routers, several hundred in one process: each watches discovery over real sockets, without clients.

`__main__` is the program, `fleet` executes the commands of its control channel, `router` is one router,
`minimal_discovery` its watch in the mode "index", and `update_times` records when routers have an index.
"""
