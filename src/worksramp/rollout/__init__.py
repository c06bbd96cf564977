"""Rollout: jobs that sample for a trainer, and submitted batches that are run, scored and listed."""
