"""Leader election and lease of the scheduling entry."""
