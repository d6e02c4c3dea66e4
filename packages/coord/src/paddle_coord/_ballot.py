"""Ballots: totally ordered names of attempts to change a register."""

import secrets

import attrs

INCARNATION_BYTES = 8

# Sorts after every proposer id, which consist of ASCII characters.
LAST_PROPOSER = '\U0010ffff'


@attrs.frozen(order=True, cache_hash=True)
class Ballot:
    """One attempt of one proposer; ordered by counter, then proposer."""

    counter: int
    proposer: str


ZERO = Ballot(0, '')


def incarnation(name):
    """Return a proposer id that no earlier process has used.

    A restarted process must not repeat a ballot, since the same ballot with
    two values would let both be decided.
    """
    return f'{name}-{secrets.token_hex(INCARNATION_BYTES)}'


def floor_ballot(counter):
    """Return the highest ballot with ``counter``."""
    return Ballot(counter, LAST_PROPOSER)
