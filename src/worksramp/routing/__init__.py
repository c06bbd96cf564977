"""Worker choice, admission limits, retries and crash quarantine for requests to workers."""
