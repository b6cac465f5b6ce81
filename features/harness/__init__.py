"""Fakes at the interfaces, for features only."""
