"""Choice of a backend server for each request."""

import itertools

import attrs

from paddle_router import _errors


@attrs.frozen
class Slot:
    """Permission to use one backend server for one request."""

    instance: object


class RoundRobin:
    """Takes the candidates in turn; no queue."""

    def __init__(self, instances):
        self._instances = instances
        self._turn = itertools.count()

    def acquire(self, request, watch, *, exclude=()):
        """Return a :class:`Slot` on an engine that holds the model.

        :raises Refusal: if there is none.
        """
        engines = self._instances.engines(request.model)
        engines = [e for e in engines if e.id not in exclude] or engines
        if not engines:
            raise _errors.unavailable(
                'no_engine', 'no engine serves this model at present'
            )
        return Slot(engines[next(self._turn) % len(engines)])

    def release(self, slot):
        """Return ``slot`` after the request has ended there."""
