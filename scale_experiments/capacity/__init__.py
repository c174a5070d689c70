"""The capacity page: the load on each role at a fleet size, and the size at which it exceeds a budget.

`schema` and `reader` read capacity.toml. `model` evaluates the entries of that file from stored results.
`breaking_point` finds the size at which an entry exceeds its budget. The `*_table` modules write the tables,
and `markers` inserts them into the page.
"""
