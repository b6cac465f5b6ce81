"""State of a request at an entry, from arrival to its final answer."""
