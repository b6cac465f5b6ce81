"""What became of requests, second by second, from the logs of processes."""
