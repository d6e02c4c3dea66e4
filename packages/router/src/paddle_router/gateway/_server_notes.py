"""Takes note of what the answers of servers say about the servers."""

import attrs

import paddle_kernel
from paddle_router.gateway import _events


class ServerNotes:
    """Passes what answers say on to the gateway's policies.

    ``on_leaving()`` is called after a server was first heard to leave, and
    ``on_quiet(service)`` after one asked for quiet.
    """

    def __init__(self, notices, clock, metrics, *, on_leaving, on_quiet):
        self._notices = notices
        self._clock = clock
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_quiet = on_quiet

    def note(self, server, metadata):
        """Take note of :class:`ResponseMetadata` from the listed ``server``.

        An answer of another server at the same address says nothing about
        the one that is listed there.
        """
        if metadata.is_gone:
            return
        if metadata.invalid_quiet is not None:
            paddle_kernel.emit(
                _events.QUIET_TIME_ODD,
                server=server.id,
                value=metadata.invalid_quiet[:100],
                kept_ms=0,
            )
        if metadata.quiet_ms is not None:
            self._mark_quiet(server, metadata.quiet_ms)
        if metadata.is_leaving:
            self._mark_leaving(server)

    def _mark_quiet(self, server, quiet_ms):
        now_ms = self._clock.now_ms()
        was_quiet = self._notices.is_quiet(server.incarnation, now_ms)
        kept_ms = self._notices.mark_quiet(
            server.incarnation, quiet_ms, now_ms
        )
        self._metrics.quiet_answers.inc()
        if kept_ms < quiet_ms - 1:
            paddle_kernel.emit(
                _events.QUIET_TIME_ODD,
                server=server.id,
                value=str(quiet_ms),
                kept_ms=kept_ms,
            )
        if not was_quiet:
            paddle_kernel.emit(
                _events.SERVER_QUIET, server=server.id, for_ms=kept_ms
            )
        self._on_quiet(server.service)

    def _mark_leaving(self, server):
        if not self._notices.mark_leaving(
            server.incarnation, self._clock.now_ms()
        ):
            return
        self._metrics.servers_leaving.inc()
        paddle_kernel.emit(
            _events.SERVER_LEAVES,
            server=server.id,
            born_ms=server.born_ms,
            address=server.address,
        )
        self._on_leaving()


def leaving_incarnations(notices, servers):
    """Return what others should hear: known to leave, not listed so."""
    return tuple(
        item.incarnation
        for item in servers or ()
        if not item.leaving and notices.is_leaving(item.incarnation)
    )


def with_notices(notices, servers):
    """Return the listed ``servers``; those heard to leave are marked so."""
    return tuple(
        attrs.evolve(item, leaving=True)
        if notices.is_leaving(item.incarnation)
        else item
        for item in servers
    )
