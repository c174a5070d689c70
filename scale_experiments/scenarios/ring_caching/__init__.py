"""The hit share of caches on a hash ring, by formula and by simulation."""
