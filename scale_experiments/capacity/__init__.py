"""The capacity table: its schema, what its lines come to, where they break, and the page of them."""
