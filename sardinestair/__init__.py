"""Dispatcher for sub-second tasks.

Sardinestair accepts jobs of many short tasks from callers, places each task
on a slot of an upstream at most once, and returns either the whole answer of
a job or an explicit failure.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
