"""The hit share of caches on a ring, by formula and by simulation."""
