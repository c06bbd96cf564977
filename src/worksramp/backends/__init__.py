"""Seams to the outside systems, one abstract class each."""
