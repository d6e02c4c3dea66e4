"""Class in which specification modules list their models."""

import collections.abc

import attrs


@attrs.frozen
class Spec:
    """A named model.

    ``build`` returns a new minicheck model. A search that exceeds
    ``max_states`` stops without a result.
    """

    name: str
    build: collections.abc.Callable
    max_states: int = 500_000
