"""Load generators and measurements."""
