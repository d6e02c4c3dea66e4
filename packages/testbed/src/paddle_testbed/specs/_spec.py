"""A specification that the model runner checks."""

import collections.abc

import attrs


@attrs.frozen
class Spec:
    """A named model.

    ``build()`` returns a minicheck model. The search ends without a proof
    after ``max_states`` states.
    """

    name: str
    build: collections.abc.Callable
    max_states: int = 500_000
