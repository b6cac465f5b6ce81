"""Claims: at most one run per idempotency key across all entries."""
