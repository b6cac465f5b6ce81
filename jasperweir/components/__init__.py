"""Components: one package per concern, each found by its service name."""
