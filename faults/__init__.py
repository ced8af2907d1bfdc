"""Fault injection tests that run the real programs on loopback."""
