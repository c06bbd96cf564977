"""Soak of real node processes on loopback, before stand-ins of the store, of workers and of callers."""
