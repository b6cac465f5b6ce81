"""Who is there: records of all nodes, failure detection and gossip."""
