"""Load balancing, admission and retry limits of an entry."""
