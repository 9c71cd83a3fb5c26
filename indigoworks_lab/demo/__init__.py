"""A deployment on loopback, exercised from outside and reported step by step."""
