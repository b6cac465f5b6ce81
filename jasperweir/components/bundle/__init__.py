"""Versioned bundles: the services, customers and data centres of a site."""
