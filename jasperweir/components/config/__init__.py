"""Replicated configuration: a key table with a revision for each key."""
