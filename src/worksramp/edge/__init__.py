"""Edge node, which keeps no local state: forwards live requests and runs submitted batches."""
