"""Tracking and refusal of requests that crash servers, shared by all gateways.

An attempt is one arrival of a request from its caller; a run is the processing of the request by
one server. A request whose content is sent again is the same request in a new attempt.
"""
