"""HTTP applications for callers, trainers and operators."""
