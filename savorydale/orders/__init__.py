"""Orders to workers, and the state of runs that workers report."""
