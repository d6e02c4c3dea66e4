"""Which headers and query parameters pass the router.

Allowlists: a header that is not named here reaches neither the backend
server nor the caller. Credentials are therefore dropped without being named.
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
# Names under which callers of other systems put keys into the query.
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
_ENVIRON_NAMES = tuple(
    (
        name,
        'CONTENT_TYPE'
        if name == 'Content-Type'
        else 'HTTP_' + name.upper().replace('-', '_'),
    )
    for name in REQUEST_HEADERS
)


def to_backend(environ, key):
    """Return the header pairs that may be sent to a backend server.

    A value that contains the caller's ``key`` is dropped.
    """
    pairs = []
    for name, variable in _ENVIRON_NAMES:
        value = environ.get(variable)
        if value and not (key and key in value):
            pairs.append((name, value))
    return pairs


def to_caller(response):
    """Return the header pairs of an answer that the caller may see."""
    pairs = []
    for name in RESPONSE_HEADERS:
        value = response.get(name)
        if isinstance(value, str):
            pairs.append((name, value))
    return pairs


def clean_query(query):
    """Return ``query`` without parameters that are named like keys."""
    if not query:
        return ''
    kept = [
        part
        for part in query.split('&')
        if urllib.parse.unquote_plus(part.partition('=')[0]).lower()
        not in SECRET_PARAMETERS
    ]
    return '&'.join(kept)
