"""Runs: the agent's table of runs, which prevents a second run of a request."""
