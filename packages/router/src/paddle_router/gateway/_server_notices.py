"""Processing of server state that is announced in response headers."""

import attrs

import paddle_kernel
from paddle_router.gateway import _events


class ServerNoticeRecorder:
    """Records announced quiet times and shutdowns of backend servers.

    ``on_leaving()`` is called after a server first announces its shutdown,
    ``on_quiet(service)`` after a server asks for a quiet time.
    """

    def __init__(self, notices, clock, metrics, *, on_leaving, on_quiet):
        self._notices = notices
        self._clock = clock
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_quiet = on_quiet

    def record(self, server, metadata):
        """Record :class:`ResponseMetadata` received from ``server``.

        It is ignored if another server at the same address responded instead
        of the listed one.
        """
        if metadata.is_misdirected:
            return
        if metadata.invalid_quiet is not None:
            paddle_kernel.emit(
                _events.QUIET_TIME_ADJUSTED,
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
                _events.QUIET_TIME_ADJUSTED,
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
            _events.SERVER_LEAVING,
            server=server.id,
            born_ms=server.born_ms,
            address=server.address,
        )
        self._on_leaving()


def unlisted_leaving_incarnations(notices, servers):
    """Return known leaving incarnations that the list does not show yet."""
    return tuple(
        item.incarnation
        for item in servers or ()
        if not item.leaving and notices.is_leaving(item.incarnation)
    )


def mark_known_leaving(notices, servers):
    """Return ``servers`` with those known to leave marked as leaving."""
    return tuple(
        attrs.evolve(item, leaving=True)
        if notices.is_leaving(item.incarnation)
        else item
        for item in servers
    )
