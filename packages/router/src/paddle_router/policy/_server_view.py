"""What a gateway knows of a server, and what it decides about a request.

Decisions about load take these values and return them; they do no I/O. The
views are made by :meth:`SharedLoadBalancer.views` and nowhere else, so that
waiting, placing, slow starts and explanations see the same figures.
"""

import typing

import attrs

from paddle_router.policy import _hooks
from paddle_router.policy import _server_notices


@attrs.frozen(kw_only=True)
class ServerView:
    """One gateway's view of a server at one moment.

    ``own`` counts this gateway's requests at the server and ``running`` the
    estimated requests of all gateways. ``report`` is the server's last load
    report, ``report_age_ms`` old, ``None`` without one. ``pace_ms`` is the
    measured pace (time between events, or response time of a plain call),
    ``None`` if unknown. ``told_pace`` is how long work takes on the server's
    machine, 1.0 if undisturbed, ``None`` if the server does not tell it.
    ``allowance`` is the number of requests that may be sent now while the
    server starts, recovers or is cold, ``None`` if only its slots limit it.
    ``is_excluded`` is set if it gets no requests now, and ``reason`` says why.
    """

    server: _server_notices.Incarnation
    failure_domain: str = ''
    slots: int = 1
    own: int = 0
    running: float = 0.0
    report: _hooks.LoadReport | None = None
    report_age_ms: int | None = None
    pace_ms: float | None = None
    told_pace: float | None = None
    allowance: int | None = None
    is_excluded: bool = False
    reason: str = ''

    # Reasons of a limited allowance.
    COLD: typing.ClassVar[str] = 'cold'
    STARTING: typing.ClassVar[str] = 'starting'

    @property
    def free(self):
        """The number of requests that the server can take now."""
        if self.is_excluded:
            return 0
        free = max(0, int(self.slots - self.running))
        return free if self.allowance is None else min(free, self.allowance)


@attrs.frozen
class Send:
    """Send the request to a server with a free place."""


@attrs.frozen
class Wait:
    """Keep the request; ``check_ms`` is when to decide again at the latest."""

    check_ms: int


@attrs.frozen
class TurnAway:
    """Refuse the request, which has not run.

    The caller may come back after ``retry_after_ms``.
    """

    retry_after_ms: int
    reason: str
