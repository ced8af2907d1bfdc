"""Dispatcher for sub-second tasks.

Sardinestair accepts jobs of many short tasks from callers, runs each task at
most once on a slot of an upstream, and returns either the complete results of
a job or an explicit error.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
