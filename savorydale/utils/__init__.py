"""Utilities shared by several packages."""
