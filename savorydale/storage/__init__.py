"""Clients of the platform: table service, store of rows, and list of VMs."""
