"""Report on the outcomes of requests, from the logs of processes."""
