"""Scale experiments: the cost of routers and of the services around them, measured at growing fleet sizes."""
