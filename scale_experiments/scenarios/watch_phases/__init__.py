"""Phases of a sample of watches: quiet (no changes), changes, and the return of discovery after an outage."""
