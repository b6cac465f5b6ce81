"""Address answers: which entries a caller should use."""
