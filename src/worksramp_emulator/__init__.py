"""Emulated systems around worksramp, a load generator, experiments and a deterministic simulation."""
