"""Specifications of the core protocols, small enough to check exhaustively."""
