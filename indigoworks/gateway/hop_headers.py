"""Filter of hop-by-hop headers, for header objects of the HTTP library."""

from tornado.httputil import HTTPHeaders

from indigoworks.backend.http_header_filter import Headers, without_hop_headers


def end_to_end_headers(headers: HTTPHeaders) -> Headers:
    """Return the end-to-end headers, which are forwarded, including `Host`."""
    return without_hop_headers(headers.get_all())
