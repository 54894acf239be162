"""Controllers: each manages one part of a node's state."""
