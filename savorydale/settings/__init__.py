"""The settings tree: inheritance, acceptance and propagation."""
