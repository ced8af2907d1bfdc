"""Benchmarks; where possible, results are ratios within the same run."""
