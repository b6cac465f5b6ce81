"""Order of service of competing requests, over all entries."""
