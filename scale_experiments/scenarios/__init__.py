"""The scenarios: each is a module that defines `SCENARIO` and is listed in `registry`."""
