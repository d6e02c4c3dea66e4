"""Filters for headers and query parameters.

Headers are filtered by allowlists: a header that is not listed here reaches
neither the backend server nor the caller. Credentials are therefore dropped
without being listed.
"""

import urllib.parse

REQUEST_HEADERS = (
    'Accept',
    'Accept-Language',
    'Content-Type',
    'Traceparent',
    'Tracestate',
)
RESPONSE_HEADERS = (
    'Cache-Control',
    'Content-Language',
    'Content-Type',
    'Etag',
    'Last-Modified',
    'Location',
    'Retry-After',
)
# Query parameters that commonly carry credentials.
SECRET_PARAMETERS = frozenset(
    {
        'access_token',
        'api-key',
        'api_key',
        'apikey',
        'auth',
        'authorization',
        'key',
        'password',
        'secret',
        'sig',
        'signature',
        'token',
        'x-api-key',
    }
)
_ENVIRON_VARIABLES = tuple(
    (
        name,
        'CONTENT_TYPE'
        if name == 'Content-Type'
        else 'HTTP_' + name.upper().replace('-', '_'),
    )
    for name in REQUEST_HEADERS
)


def headers_for_backend(environ, key):
    """Return the header pairs that may be sent to a backend server.

    A value that contains the caller's ``key`` is dropped.
    """
    pairs = []
    for name, variable in _ENVIRON_VARIABLES:
        value = environ.get(variable)
        if value and not (key and key in value):
            pairs.append((name, value))
    return pairs


def headers_for_caller(response):
    """Return the header pairs of a response that may reach the caller."""
    pairs = []
    for name in RESPONSE_HEADERS:
        value = response.get(name)
        if isinstance(value, str):
            pairs.append((name, value))
    return pairs


def strip_secret_parameters(query):
    """Return ``query`` without parameters that may carry credentials."""
    if not query:
        return ''
    allowed = [
        part
        for part in query.split('&')
        if urllib.parse.unquote_plus(part.partition('=')[0]).lower()
        not in SECRET_PARAMETERS
    ]
    return '&'.join(allowed)
