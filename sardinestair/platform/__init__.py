"""Adapter to the users' platform: its messages, store and runners.

The package only translates between the platform's formats and the types of
the other packages; it makes no scheduling decisions. Only the modules that
assemble the processes import it.
"""
