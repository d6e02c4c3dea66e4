"""The part of the gateway that a platform's adapter supplies."""

import typing

from paddle_router.gateway import _model


class Dialect(typing.Protocol):
    """Names and shapes of one platform's requests and documents.

    Header lists are sequences of ``(name, value)`` in bytes, with names as
    they were sent.
    """

    def read_configuration(self, content: bytes) -> _model.Configuration:
        """Decode the operator's document.

        :raises ConfigurationError: if it is not valid.
        """

    def read_call(self, headers) -> _model.RequestMetadata:
        """Return what a request's headers say.

        :raises ValueError: if a value cannot be understood.
        """

    def call_headers(self, headers, context: _model.ForwardingContext) -> list:
        """Return the headers for a backend server, without framing."""

    def read_answer(self, status, headers) -> _model.ResponseMetadata:
        """Return what a backend server's status and headers say."""

    def answer_headers(self, headers) -> list:
        """Return the headers for the caller, without framing."""

    def move_request(self, request_id, source, target) -> tuple:
        """Return ``(method, target, headers, body)`` of a call to ``source``.

        It stops the run of ``request_id`` and copies it to ``target``; both
        are :class:`ListedServer`.
        """

    def read_move(self, body) -> str | None:
        """Return the name of the copy in the answer to such a call.

        ``None`` if the answer names none.

        :raises ValueError: if it cannot be read.
        """

    def without_stamp(self, headers) -> list:
        """Return ``headers`` without the mark of the server's own answer."""
