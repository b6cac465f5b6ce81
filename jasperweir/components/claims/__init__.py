"""Claims: at most one run for each idempotency key, across all entries."""
