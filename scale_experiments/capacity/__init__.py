"""The capacity page: what each role carries at a size of the fleet, and the size that exceeds its budget.

`schema` and `reader` read capacity.toml, `model` works out its entries from kept results, `breaking_point`
finds where one exceeds its budget, the `*_table` modules write the tables, `markers` puts them on the page.
"""
