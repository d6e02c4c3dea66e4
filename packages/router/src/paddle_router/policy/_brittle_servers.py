"""Places of the gateways at servers that fall over after many rejections.

A service that is brittle queues little or nothing, and a server of it that
rejects more than some requests a second for want of room falls over. The
rejections of all gateways count together, and the sums of their requests are
older than most responses take. So every place of a brittle service belongs to
one gateway at a time, and a gateway sends no more requests to a server than it
has places there. Requests without a place wait at the gateway.

All places of a service are numbered and belong to the gateways in turn. If
each gateway has few of them, the places also move from gateway to gateway
with time, so that none depends on a single server and gateways without a place
get one soon. If there is a place for each gateway, those move less often than
the rest. Numbers and times are the same at all gateways, so this needs no
message.
"""

import attrs

# From this many places for each gateway on, places do not move: one server
# that is down leaves each gateway others.
STATIC_PLACES = 2
# Shortest and longest time that a place stays with a gateway while places
# move. It is at least this multiple of a response, since no request is sent
# near the end, and a power of two times the shortest one, so that gateways
# with slightly different measured times use the same. With a multiple of 2,
# two servers fell in the replay of 60 gateways over the capacity, none with 4.
MIN_SLICE_MS = 250
MAX_SLICE_MS = 8_000
SLICE_RESPONSES = 4
# Slices for which a gateway keeps the places of which each gateway has as
# many. A place that moves is unused for up to END_RESPONSES: in the replay of
# 4 gateways at 6 places that respond in 108 to 116 ms, 0.72 to 0.80 of the
# requests are served if all places move with every slice, 0.90 to 0.95 with 4.
# With 8, fewer are served while a server is down.
KEPT_SLICES = 4
# Part of a slice at its end in which no request is sent to places that move to
# another gateway, in responses. Most responses take less than this multiple of
# the median time.
END_RESPONSES = 1.5
# Assumed time of a response until the service's own time is known; the slower
# services of the users take 80 ms.
DEFAULT_RESPONSE_MS = 80
# Usual duration of a stream, whose measured pace is the time between events.
STREAM_MS = 1_500
# Places gained by a change of the gateways or servers are used after this
# time: the gateways that had them hear of the change within two exchanges of
# 250 ms, and their requests end.
GAIN_DELAY_MS = 1_000
# Bounds of the pause of one gateway at a server that rejected its request. In
# between, all gateways together cause at most the allowed rejections a second.
MIN_PAUSE_MS = 500
MAX_PAUSE_MS = 2_000
MS_PER_KILO_S = 1_000_000
# Slices that are searched for the next own place.
MAX_SEARCH = 128


@attrs.frozen
class _Share:
    """Which of ``count`` gateways this is, and ``(server, slots)`` pairs."""

    index: int
    count: int
    servers: tuple
    total: int = attrs.field(init=False, eq=False)

    @total.default
    def _count_slots(self):
        return sum(slots for _server, slots in self.servers)

    @property
    def moves(self):
        return self.total < STATIC_PLACES * self.count

    def places(self, number):
        """Return ``{server: own places}`` in slice ``number``."""
        rest = self.total % self.count
        kept_end = self.total - rest
        kept_shift = shift = 0
        if self.moves:
            kept_shift = number // KEPT_SLICES
            shift = number * (rest or 1)
        owned, first = {}, 0
        for server, slots in self.servers:
            end = first + slots
            owned[server] = self._count(
                first, min(end, kept_end), kept_shift
            ) + self._count(max(first, kept_end), end, shift)
            first = end
        return owned

    def _count(self, first, end, shift):
        """Return how many of the places from ``first`` to ``end`` are own."""
        if first >= end:
            return 0
        turn = (self.index - first - shift) % self.count
        return (end - first - turn + self.count - 1) // self.count


class BrittlePlaces:
    """This gateway's places at the servers of one service.

    ``limits`` is the :class:`ServerLimits` that knows what servers said and
    which of the gateways this one is.
    """

    def __init__(self, limits):
        self._limits = limits
        self._share = _Share(0, 1, ())
        # Shares before the last changes, and until when they count.
        self._former = []
        self._cached = (None, {})
        self._paused_until_ms = {}
        self._lost_until_ms = {}
        self.response_ms = DEFAULT_RESPONSE_MS

    def set_servers(self, servers, now_ms):
        """Set the ``(server, slots)`` pairs of the servers in use."""
        self._set_share(
            attrs.evolve(
                self._share,
                servers=tuple(
                    (server, max(1, slots))
                    for server, slots in sorted(
                        servers, key=lambda item: item[0].id
                    )
                ),
            ),
            now_ms,
        )
        known = {server for server, _slots in self._share.servers}
        for times in (self._paused_until_ms, self._lost_until_ms):
            for server in set(times) - known:
                del times[server]

    def milli_per_s(self, now_ms):
        """Return how many rejections a server bears in 1,000 s.

        ``None`` if the service is not brittle.
        """
        return self._limits.brittle_milli_per_s(
            (server for server, _slots in self._share.servers), now_ms
        )

    def with_place(self, states, now_ms):
        """Return those of ``states`` to which a request may be sent now."""
        if not self._is_brittle(now_ms):
            return states
        return [state for state in states if self._is_open(state, now_ms)]

    def next_place_ms(self, state, now_ms):
        """Return when a place at a server is expected to be free.

        ``None`` if this gateway has none there.
        """
        if not self._is_brittle(now_ms) or self._is_open(state, now_ms):
            return now_ms
        server = state.incarnation
        open_ms = max(now_ms, self._paused_until_ms.get(server, now_ms))
        free_ms = max(open_ms, now_ms + self.response_ms // 2)
        number, _passed_ms = self._slice(open_ms)
        places = self._share.places(number).get(server, 0)
        if not self._share.moves:
            return free_ms if places else None
        if places and self._slice(free_ms)[0] == number:
            kept = self._share.places(number + 1).get(server, 0)
            if kept >= places or not self._is_near_end(free_ms):
                return free_ms
        for later in range(number + 1, number + MAX_SEARCH):
            if self._share.places(later).get(server):
                return later * self._slice_ms() - self._limits.wall_offset_ms
        return None

    def interval_ms(self, state, now_ms):
        """Return the mean time between this gateway's requests to a server.

        ``None`` if the service is not brittle.
        """
        if not self._is_brittle(now_ms):
            return None
        slots = max(1, state.engine.slots)
        return self._share.count * self.response_ms / slots

    def record_rejection(self, server, now_ms):
        """Record that ``server`` had no room for a request."""
        milli_per_s = self.milli_per_s(now_ms)
        if milli_per_s is None:
            return
        pause_ms = self._share.count * MS_PER_KILO_S // milli_per_s
        self._paused_until_ms[server] = now_ms + min(
            max(pause_ms, MIN_PAUSE_MS), MAX_PAUSE_MS
        )

    def record_lost(self, server, now_ms):
        """Record a request without an answer; the server may still run it."""
        if self._is_brittle(now_ms):
            lost = self._live_lost(server, now_ms)
            lost.append(now_ms + self.response_ms)
            self._lost_until_ms[server] = lost

    def dump(self, now_ms):
        """Return plain data for the state dump."""
        milli_per_s = self.milli_per_s(now_ms)
        if milli_per_s is None:
            return {}
        return {
            'rejections_per_s': milli_per_s / 1_000,
            'moves': self._share.moves,
            'slice_ms': self._slice_ms(),
            'places': {
                server.id: places
                for server, places in self._places(now_ms).items()
            },
        }

    def _is_brittle(self, now_ms):
        return self.milli_per_s(now_ms) is not None

    def _is_open(self, state, now_ms):
        server = state.incarnation
        if self._paused_until_ms.get(server, now_ms) > now_ms:
            return False
        places = self._places(now_ms).get(server, 0)
        used = len(state.flights) + len(self._live_lost(server, now_ms))
        if used >= places:
            return False
        if not self._share.moves or not self._is_near_end(now_ms):
            return True
        # Places that stay with this gateway may be used until the end.
        number, _passed_ms = self._slice(now_ms)
        return used < self._share.places(number + 1).get(server, 0)

    def _places(self, now_ms):
        """Return ``{server: own places}`` that may be used now."""
        index, count = self._limits.index, self._limits.gateway_count
        if (index, count) != (self._share.index, self._share.count):
            self._set_share(
                attrs.evolve(self._share, index=index, count=count), now_ms
            )
        self._forget_former(now_ms)
        number, _passed_ms = self._slice(now_ms)
        if self._cached[0] != number:
            places = self._share.places(number)
            for share, _until_ms in self._former:
                former = share.places(number)
                places = {
                    server: min(count, former.get(server, count))
                    for server, count in places.items()
                }
            self._cached = number, places
        return self._cached[1]

    def _set_share(self, share, now_ms):
        if share == self._share:
            return
        if self._share.servers:
            # Also while the service is not brittle, when nothing reads them.
            self._forget_former(now_ms)
            self._former.append((self._share, now_ms + GAIN_DELAY_MS))
        self._share = share
        self._cached = None, {}

    def _forget_former(self, now_ms):
        while self._former and self._former[0][1] <= now_ms:
            del self._former[0]
            self._cached = None, {}

    def _slice(self, now_ms):
        """Return the number of the slice, and how long it has lasted."""
        return divmod(now_ms + self._limits.wall_offset_ms, self._slice_ms())

    def _is_near_end(self, now_ms):
        """Whether a response would end close to the end of the slice."""
        _number, passed_ms = self._slice(now_ms)
        return passed_ms > self._slice_ms() - END_RESPONSES * self.response_ms

    def _slice_ms(self):
        slice_ms = MIN_SLICE_MS
        while (
            slice_ms < MAX_SLICE_MS
            and slice_ms < SLICE_RESPONSES * self.response_ms
        ):
            slice_ms *= 2
        return slice_ms

    def _live_lost(self, server, now_ms):
        return [
            until_ms
            for until_ms in self._lost_until_ms.get(server, ())
            if until_ms > now_ms
        ]
