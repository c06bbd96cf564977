"""Interfaces to outside systems: one abstract class each, with an implementation over HTTP."""
