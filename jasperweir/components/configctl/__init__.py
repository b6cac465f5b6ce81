"""Control VM for whole configurations: log, reads, seats, directory."""
