"""Routing: which target gets a request."""
