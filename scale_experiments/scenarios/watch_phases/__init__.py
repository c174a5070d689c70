"""The phases of a watch sample: quiet time, changes, and the return of discovery after an outage."""
