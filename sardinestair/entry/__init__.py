"""The entry: owns jobs from acceptance to answer."""
