"""Clients of the platform's table service, object store and VM status."""
