"""JSON bodies of the administration API, one model each."""
