"""Coordination between entries: links, membership and ownership."""
