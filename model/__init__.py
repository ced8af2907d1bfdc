"""Specifications of the core protocols, model-checked exhaustively."""
