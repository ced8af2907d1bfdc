"""Benchmarks; speed is given as ratios within one run where it can be."""
