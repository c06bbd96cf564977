"""One role for machines that keep nothing: forwards live requests and runs submitted batches."""
