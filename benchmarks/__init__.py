"""Benchmarks, one module each, run by ``scripts/bench NAME``."""
