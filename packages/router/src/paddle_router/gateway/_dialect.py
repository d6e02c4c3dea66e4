"""The interface that a platform's adapter implements for the gateway."""

import typing

from paddle_router.gateway import _model


class Dialect(typing.Protocol):
    """Conversion of one platform's headers and documents.

    Header lists are sequences of ``(name, value)`` in bytes, with the original
    spelling of the names.
    """

    def read_configuration(self, content: bytes) -> _model.Configuration:
        """Decode the operator's configuration document.

        :raises ConfigurationError: if it is not valid.
        """

    def parse_request_headers(self, headers) -> _model.RequestMetadata:
        """Parse the headers of a request.

        :raises ValueError: if a value is invalid.
        """

    def forwarded_headers(
        self, headers, context: _model.ForwardingContext
    ) -> list:
        """Return the headers for a backend server, without framing headers."""

    def relayed_headers(self, headers, left_ms, last_event_id) -> list:
        """Return the headers for another gateway, without framing headers.

        ``headers`` are the caller's, whose key stays. ``left_ms`` replaces the
        caller's deadline and ``last_event_id``, if not ``None``, the id of the
        last event that the caller has.
        """

    def parse_response_headers(
        self, status, headers
    ) -> _model.ResponseMetadata:
        """Parse the status and headers of a backend server's response."""

    def response_headers(self, headers) -> list:
        """Return the headers for the caller, without framing headers."""

    def build_move_request(self, request_id, source, target) -> tuple:
        """Return a move request to ``source``.

        The result is ``(method, target, headers, body)``. The request makes
        ``source`` stop the run of ``request_id`` and copy it to the server
        ``target``; both are :class:`ListedServer`.
        """

    def parse_move_response(self, body) -> _model.RunCopy | None:
        """Return the copy that the response to a move request names.

        ``None`` if the response has no handle.

        :raises ValueError: if the response is malformed.
        """

    def without_signature(self, headers) -> list:
        """Return ``headers`` without the server's signature header."""
