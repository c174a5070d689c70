"""Scale experiments: emulators of what surrounds a router, and runs of them at growing sizes."""
