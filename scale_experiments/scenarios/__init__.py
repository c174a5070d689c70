"""The scenarios: each is a module that defines `SCENARIO`, and is named in `registry`."""
