"""Fault soak: runs nodes as processes, injects faults and checks the guarantees throughout."""
