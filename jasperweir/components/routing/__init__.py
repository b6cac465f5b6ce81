"""Routing: choice of the target of a request."""
