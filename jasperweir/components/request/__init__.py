"""Life of a request at an entry, from arrival to its one final answer."""
