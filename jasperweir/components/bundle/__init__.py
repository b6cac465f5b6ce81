"""Versioned bundles: what a site serves and how work is shared."""
