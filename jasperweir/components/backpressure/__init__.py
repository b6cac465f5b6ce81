"""What targets ask of those who send them requests, and how it is kept."""
