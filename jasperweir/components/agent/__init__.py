"""The agent: the only door to a target."""
