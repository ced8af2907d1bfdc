"""Failure tests with the real programs as processes on loopback."""
