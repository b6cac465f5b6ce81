"""Which target gets a request, how many are admitted, what is retried."""
