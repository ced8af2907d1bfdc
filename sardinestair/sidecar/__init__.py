"""The sidecar: the only process that sends its upstream work."""
