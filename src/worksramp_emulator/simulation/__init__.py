"""Deterministic simulation: production nodes on a virtual clock, with seeded faults and checked histories."""
