"""Run a small fleet on one machine, as `make run` does."""
