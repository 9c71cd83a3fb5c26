"""Tracking and refusal of requests that crash servers, shared by all gateways."""
