"""The sidecar: the only process that sends tasks to its upstream."""
