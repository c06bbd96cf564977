"""Choice of a worker, load limits and retries."""
