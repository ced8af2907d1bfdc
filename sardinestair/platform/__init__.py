"""What the users' platform speaks, translated into the product's own terms.

Everything here decodes or encodes; nothing decides. Only the wiring of the
programs imports it.
"""
