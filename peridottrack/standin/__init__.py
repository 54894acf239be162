"""Test doubles of the external systems: the platform's stores, upstreams and the network."""
