"""Operator configuration: routes, services, limits and customers."""
