"""Address answers: entries that a caller should connect to."""
