"""Directory of the workers, and a client that sends commands to them."""
