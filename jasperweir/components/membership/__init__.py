"""Membership: records of all nodes, failure detection and gossip."""
