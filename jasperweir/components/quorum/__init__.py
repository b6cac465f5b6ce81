"""Replicated log: the project's own consensus over a few voters with disks."""
