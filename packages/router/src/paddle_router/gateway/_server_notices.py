"""Processing of server state that is announced in response headers."""

import attrs

import paddle_kernel
from paddle_router.gateway import _events


class ServerNoticeRecorder:
    """Records quiet times, shutdowns, limits and brittleness of servers.

    ``on_leaving()`` is called after a server first announces its shutdown,
    ``on_quiet(service)`` after a server asks for a quiet time, and
    ``on_brittle(service)`` when a server begins or ceases to be brittle.
    """

    def __init__(
        self,
        notices,
        limits,
        clock,
        wall,
        metrics,
        *,
        on_leaving,
        on_quiet,
        on_brittle,
    ):
        self._notices = notices
        self._limits = limits
        self._clock = clock
        self._wall = wall
        self._metrics = metrics
        self._on_leaving = on_leaving
        self._on_quiet = on_quiet
        self._on_brittle = on_brittle

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
        if (
            lifts_limit
            or metadata.limit_per_s is not None
            or metadata.brittle_per_s is not None
        ):
            self._record_limit(server, metadata)

    def _record_limit(self, server, metadata):
        for value, event in (
            (metadata.invalid_limit, _events.LIMIT_IGNORED),
            (metadata.invalid_brittle, _events.BRITTLE_IGNORED),
        ):
            if value is not None:
                paddle_kernel.emit(event, server=server.id, value=value[:100])
        known = self._limits.known(server.incarnation)
        # A figure that cannot be used leaves the known one in force.
        limit_per_s, brittle_per_s = (
            metadata.limit_per_s,
            metadata.brittle_per_s,
        )
        if metadata.invalid_limit is not None:
            limit_per_s = known.limit_per_s
        if metadata.invalid_brittle is not None:
            brittle_per_s = known.brittle_per_s
        has_changed = self._limits.record(
            server.incarnation,
            limit_per_s,
            self._wall.now_ms(),
            brittle_per_s,
        )
        self._log_brittle(server, known.brittle_per_s)
        if has_changed:
            paddle_kernel.emit(
                _events.SERVER_LIMIT_CHANGED,
                server=server.id,
                address=server.address,
                limit_per_s=limit_per_s,
            )

    def _log_brittle(self, server, known_per_s):
        brittle_per_s = self._limits.known(server.incarnation).brittle_per_s
        if brittle_per_s != known_per_s:
            paddle_kernel.emit(
                _events.SERVER_BRITTLE_CHANGED,
                server=server.id,
                address=server.address,
                service=server.service,
                rejections_per_s=brittle_per_s,
            )
            self._on_brittle(server.service)

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
