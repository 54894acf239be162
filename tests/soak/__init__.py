"""The fault soak: real nodes as processes, faults from outside, promises checked all the while."""
