"""Weight version rollout across an engine fleet."""
