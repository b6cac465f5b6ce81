"""Service levels: how fast each error budget burns, and what burns it."""
