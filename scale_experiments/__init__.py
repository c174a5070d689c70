"""Scale experiments: stand-ins for what surrounds a router, and runs of them at growing sizes."""
