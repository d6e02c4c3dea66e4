"""Ballots: totally ordered identifiers of attempts to change a register."""

import secrets

import attrs

INCARNATION_BYTES = 8

# Sorts after every proposer id, since these consist of ASCII characters.
LAST_PROPOSER = '\U0010ffff'


@attrs.frozen(order=True, cache_hash=True)
class Ballot:
    """One attempt of one proposer; ordered by counter, then proposer."""

    counter: int
    proposer: str


ZERO = Ballot(0, '')


def new_proposer_id(name):
    """Return a random proposer id that no other process uses.

    A restarted process must not reuse a ballot: if one ballot carried two
    values, both could be decided.
    """
    return f'{name}-{secrets.token_hex(INCARNATION_BYTES)}'


def floor_ballot(counter):
    """Return the highest ballot with ``counter``."""
    return Ballot(counter, LAST_PROPOSER)
