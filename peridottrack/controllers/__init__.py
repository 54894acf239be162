"""Controllers: each holds one kind of state of a node."""
