"""The entry process: owns jobs from acceptance to completion."""
