"""Agent that runs requests on its target and reports its state."""
