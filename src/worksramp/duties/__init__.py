"""Duties towards the platform that one node at a time carries out: usage reports and numbers of workers."""
