"""Processing of server state that is announced in response headers."""

import attrs

import paddle_kernel
from paddle_router.gateway import _events


class ServerNoticeRecorder:
    """Records announced quiet times, shutdowns and limits of servers.

    ``on_leaving()`` is called after a server first announces its shutdown,
    ``on_quiet(service)`` after a server asks for a quiet time.
    """

    def __init__(
        self, notices, limits, clock, wall, metrics, *, on_leaving, on_quiet
    ):
        self._notices = notices
        self._limits = limits
        self._clock = clock
        self._wall = wall
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_quiet = on_quiet

    def record(self, server, metadata, *, lifts_limit=True):
        """Record :class:`ResponseMetadata` received from ``server``.

        It is ignored if another server at the same address responded instead
        of the listed one. ``lifts_limit`` is set if a response without a limit
        means that the server has none any more.
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
        if lifts_limit or metadata.limit_per_s is not None:
            self._record_limit(server, metadata)

    def _record_limit(self, server, metadata):
        if metadata.invalid_limit is not None:
            paddle_kernel.emit(
                _events.LIMIT_IGNORED,
                server=server.id,
                value=metadata.invalid_limit[:100],
            )
            return
        if self._limits.record(
            server.incarnation, metadata.limit_per_s, self._wall.now_ms()
        ):
            paddle_kernel.emit(
                _events.SERVER_LIMIT_CHANGED,
                server=server.id,
                address=server.address,
                limit_per_s=metadata.limit_per_s,
            )

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
