"""Discovery, as one process."""
