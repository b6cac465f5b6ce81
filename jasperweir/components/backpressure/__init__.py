"""Backpressure of targets: back-offs, rate limits and refusals."""
