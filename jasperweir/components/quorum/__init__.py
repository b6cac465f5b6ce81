"""Replicated log: a Raft implementation for a few voters with disks."""
