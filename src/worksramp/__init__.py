"""worksramp: a rollout service for reinforcement learning beside live traffic."""
