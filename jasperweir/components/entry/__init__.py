"""The entry's decisions: admission, routing, claims, membership."""
