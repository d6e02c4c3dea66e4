"""Input and output of planners: the view and the orders.

Rates are generated tokens per second, prices are per hour.
"""

import math

import attrs

STARTING = 'starting'
LIVE = 'live'
DRAINING = 'draining'
LEAVING = 'leaving'


@attrs.frozen(kw_only=True)
class Server:
    """A backend server, or a start order whose server is not listed yet.

    ``state`` is one of the constants of this module. A pending start order has
    the state ``STARTING``, so that the server is not ordered twice.
    """

    id: str
    failure_domain: str
    cheap: bool
    price: float
    state: str = LIVE
    running: int = 0
    loaded: frozenset = frozenset()
    role: str = ''

    @property
    def kind(self):
        return self.failure_domain, self.cheap


@attrs.frozen(kw_only=True)
class Offer:
    """A kind of server that the platform offers to start."""

    failure_domain: str
    cheap: bool
    price: float
    available: bool = True

    @property
    def kind(self):
        return self.failure_domain, self.cheap


@attrs.frozen(kw_only=True)
class Load:
    """A model, adapter or version to load on a number of servers."""

    verb: str
    name: str
    tier: int
    servers: int
    size_bytes: int


@attrs.frozen(kw_only=True)
class PlanView:
    """All input of a planner's decision.

    ``demand`` is the forecast by tier for the time at which a server ordered
    now would be live. ``server_rate`` is the rate that one server can serve
    within the targets.
    """

    now_ms: int
    servers: tuple
    offers: tuple
    demand: dict
    server_rate: float
    start_up_ms: int = 60_000
    loads: tuple = ()
    store_bytes_per_s: float = 0.0
    roles: dict = attrs.field(factory=dict)


@attrs.frozen
class Order:
    """An order to the platform or to a backend server.

    ``verb`` is ``start``, ``drain``, ``keep`` (cancel a drain), ``stop``, the
    verb of a :class:`Load` or ``change_role``. The daemons carry out drains.
    """

    verb: str
    args: dict


class DemandForecast:
    """Forecast of the demand per tier (Holt's linear method)."""

    def __init__(self, *, level_ms=60_000, trend_ms=600_000):
        self._level_ms = level_ms
        self._trend_ms = trend_ms
        self._tiers = {}

    def observe(self, tier, rate, now_ms):
        """Record the demand of ``tier`` measured at ``now_ms``."""
        known = self._tiers.get(tier)
        if known is None:
            self._tiers[tier] = (rate, 0.0, now_ms)
            return
        level, trend, last_ms = known
        passed_ms = max(1, now_ms - last_ms)
        expected = level + trend * passed_ms
        gain = 1 - math.exp(-passed_ms / self._level_ms)
        new_level = expected + gain * (rate - expected)
        gain = 1 - math.exp(-passed_ms / self._trend_ms)
        trend += gain * ((new_level - level) / passed_ms - trend)
        self._tiers[tier] = (new_level, trend, now_ms)

    def at(self, horizon_ms):
        """Return the demand by tier ``horizon_ms`` after the last sample."""
        return {
            tier: max(0.0, level + trend * horizon_ms)
            for tier, (level, trend, _) in self._tiers.items()
        }


class StartUpTime:
    """Moving average of the time from a start order to the first response.

    It errs on the long side: it follows longer times quickly and shorter ones
    slowly.
    """

    def __init__(self, initial_ms=60_000):
        self._value_ms = float(initial_ms)

    def observe(self, start_up_ms):
        gain = 0.5 if start_up_ms > self._value_ms else 0.1
        self._value_ms += gain * (start_up_ms - self._value_ms)

    def value_ms(self):
        return int(self._value_ms)
