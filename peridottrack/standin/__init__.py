"""Stand-ins for the outside systems: the platform's stores and upstreams."""
