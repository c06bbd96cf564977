"""Deterministic simulation: runs production nodes on a virtual clock with seeded faults and checks them."""
