"""Benchmarks; they run outside CI."""
