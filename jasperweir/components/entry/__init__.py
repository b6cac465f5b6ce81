"""Entry: admission, routing, claims and membership of one entry process."""
