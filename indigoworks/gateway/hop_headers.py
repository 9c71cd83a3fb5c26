"""Headers that concern one connection only, as the library holds them."""

from tornado.httputil import HTTPHeaders

from indigoworks.backend.http_header_filter import Headers, without_hop_headers


def end_to_end_headers(headers: HTTPHeaders) -> Headers:
    """Return the headers that travel on to the other side, `Host` among them."""
    return without_hop_headers(headers.get_all())
