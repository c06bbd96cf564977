"""Wiring, start and stop of one node."""
