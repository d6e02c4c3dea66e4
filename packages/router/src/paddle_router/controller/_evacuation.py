"""Evacuated failure domains, whose servers get no more requests.

They are stored in a register. An order changes one domain and is acknowledged
once a majority stores the result, or already had it.

An order may arrive more than once, and a copy of it may reach a process that
was suspended meanwhile. Orders carry no id, so a late copy cannot be told from
a new order. It is recognized by its caller, who stops waiting and asks another
controller: an order whose caller has left, or that is older than a caller
waits, changes nothing. This is checked at each attempt to store it.
"""

import json

import attrs
import returns.result

import paddle_coord
import paddle_kernel
from paddle_router.controller import _events
from paddle_router import gateway

DOCUMENT_KEY = 'document/evacuation'
# Period of comparing the own copy with a majority. Orders must be in force
# within 5 s at the operators; the exchange with gateways and between
# controllers takes under 1 s, two lost comparisons included 4 s.
REFRESH_PERIOD_MS = 1_000
# Bounds on the content, far above the number of domains of a platform and the
# length of a name.
MAX_DOMAINS = 1_000
MAX_NAME_LENGTH = 255
_UNCHANGED = paddle_coord.Reject('unchanged')
_ABANDONED = paddle_coord.Reject('abandoned')
_TOO_MANY = paddle_coord.Reject('too many domains')


class InvalidOrderError(ValueError):
    """An order that can never be carried out; the text gives the reason."""


@attrs.frozen(kw_only=True)
class Order:
    """Evacuate ``domain``, or use it again without ``is_evacuated``.

    ``expires_ms`` is when the caller stops waiting for the answer at the
    latest; ``has_caller_left()`` tells whether it has stopped already.
    """

    domain: str
    is_evacuated: bool
    expires_ms: int
    has_caller_left: object


class Evacuations:
    """Local copy of the evacuated domains, and orders that change them.

    Without ``is_served`` no order is accepted, and the register is not read.
    """

    def __init__(self, register, clock, *, is_served):
        self._clock = clock
        self._is_served = is_served
        self._document = paddle_coord.VersionedDocument(
            register, clock, key=DOCUMENT_KEY, on_change=_log_change
        )

    @property
    def is_known(self):
        """Whether the stored domains, if any, have been read once."""
        return (
            not self._is_served
            or self._document.current is not None
            or self._document.age_ms() is not None
        )

    @property
    def domains(self):
        """The names of the evacuated domains, as far as known."""
        return frozenset(self._evacuation().domains)

    @property
    def version(self):
        """The version of the local copy, 0 before the first order."""
        current = self._document.current
        return current.version if current is not None else 0

    def message(self):
        """Return the :class:`Evacuation` for gateways.

        ``None`` if it is not known, or if no orders are accepted.
        """
        if not self._is_served or not self.is_known:
            return None
        return self._evacuation()

    def newer_message(self, version):
        """Return the :class:`Evacuation` if it is newer than ``version``."""
        return self.message() if self.version > version else None

    def apply(self, order):
        """Carry out ``order``; return the stored :class:`Evacuation`.

        ``None`` if the outcome is unknown or the order was abandoned. An order
        that changes nothing is carried out as well.

        :raises InvalidOrderError: if the order cannot be carried out.
        """
        _check_name(order.domain)
        result = self._document.update(
            lambda content: self._changed(content, order)
        )
        if not isinstance(result, returns.result.Success):
            paddle_kernel.emit(
                _events.EVACUATION_UNDECIDED,
                domain=order.domain,
                evacuated=order.is_evacuated,
                error=result.failure().detail,
            )
            return None
        change = result.unwrap()
        if change.rejected == _ABANDONED.reason:
            paddle_kernel.emit(
                _events.EVACUATION_ABANDONED,
                domain=order.domain,
                evacuated=order.is_evacuated,
            )
            return None
        if change.rejected == _TOO_MANY.reason:
            raise InvalidOrderError(
                f'more than {MAX_DOMAINS} domains would be evacuated'
            )
        evacuation = _decode(change.value)
        paddle_kernel.emit(
            _events.EVACUATION_ACCEPTED,
            domain=order.domain,
            evacuated=order.is_evacuated,
            version=evacuation.version,
            changed=change.applied,
        )
        return evacuation

    def adopt(self, evacuation):
        """Use the lease holder's :class:`Evacuation` if it is newer."""
        if self._is_served:
            self._document.adopt(
                paddle_coord.Document(
                    evacuation.version, _encode(evacuation.domains)
                )
            )

    def refresh(self):
        """Compare with a majority; return whether that was possible."""
        return not self._is_served or self._document.refresh()

    def refresh_if_due(self):
        """Compare with a majority once a period."""
        age_ms = self._document.age_ms()
        if age_ms is None or age_ms >= REFRESH_PERIOD_MS:
            self.refresh()

    def read(self):
        """Return the confirmed :class:`Evacuation`, ``None`` without one."""
        if self._document.refresh():
            return self._evacuation()
        paddle_kernel.emit(
            _events.EVACUATION_UNCONFIRMED,
            error=self._document.refresh_failure,
        )
        return None

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'served': self._is_served,
            'domains': sorted(self.domains),
            **self._document.dump(),
        }

    def _evacuation(self):
        return _decode(self._document.current)

    def _changed(self, content, order):
        """Return the new content, or why it stays as it is."""
        if self._clock.now_ms() >= order.expires_ms or order.has_caller_left():
            return _ABANDONED
        domains = set(_domains(content))
        if (order.domain in domains) == order.is_evacuated:
            return _UNCHANGED
        domains ^= {order.domain}
        if len(domains) > MAX_DOMAINS:
            return _TOO_MANY
        return _encode(domains)


def _encode(domains):
    return json.dumps({'domains': sorted(domains)}).encode()


def _domains(content):
    return tuple(json.loads(content)['domains']) if content else ()


def _decode(document):
    """Return the :class:`Evacuation` in a document, which may be ``None``."""
    if document is None:
        return gateway.Evacuation()
    return gateway.Evacuation(
        version=document.version, domains=_domains(document.content)
    )


def _check_name(domain):
    if not 0 < len(domain) <= MAX_NAME_LENGTH:
        raise InvalidOrderError(
            f'the name of a domain has 1 to {MAX_NAME_LENGTH} characters'
        )
    if not domain.isprintable():
        # Messages cannot contain every character.
        raise InvalidOrderError('the name has characters without a glyph')


def _log_change(document):
    evacuation = _decode(document)
    paddle_kernel.emit(
        _events.EVACUATION_CHANGED,
        version=evacuation.version,
        domains=list(evacuation.domains),
    )
