"""Runs: the agent's table of requests, the last guard against a second run."""
