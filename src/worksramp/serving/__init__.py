"""Serve HTTP to callers, within the memory and the descriptors of the machine."""
