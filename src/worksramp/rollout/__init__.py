"""Rollout jobs: sampling, staleness and batch delivery."""
