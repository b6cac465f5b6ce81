"""Quarantine of requests that crash targets."""
