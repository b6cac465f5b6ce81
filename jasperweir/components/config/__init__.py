"""Replicated configuration: a table of keys with the revision of each."""
