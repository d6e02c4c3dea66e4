"""The platform's list of backend servers, kept up to date by polling."""

import json

import attrs

import paddle_kernel
from paddle_router import _events
from paddle_router import _http_out

ENGINE = 'engine'
SERVICE = 'service'
LIVE = 'live'
LEAVING = 'leaving'
MAX_LIST_BYTES = 16 * 1024 * 1024
POLL_TIMEOUT_MS = 2_000


@attrs.frozen(kw_only=True)
class Instance:
    """One backend server in the list of the platform."""

    id: str
    address: str
    kind: str = ENGINE
    service: str | None = None
    models: tuple = ()
    slots: int = 8
    failure_domain: str = ''
    cheap: bool = False
    price_per_hour: float = 1.0
    checks_numbers: bool = False
    can_resume: bool = False
    state: str = LIVE
    leaves_in_ms: int | None = None
    order_id: str | None = None


_FIELDS = frozenset(item.name for item in attrs.fields(Instance))


def parse(body):
    """Return the instances in the body of a list answer.

    :raises ValueError: if the body is malformed.
    """
    try:
        entries = json.loads(body)['instances']
        return tuple(_from_entry(entry) for entry in entries)
    except (KeyError, TypeError, AttributeError) as exc:
        raise ValueError(f'malformed instance list: {exc}') from exc


def _from_entry(entry):
    known = {name: entry[name] for name in _FIELDS & set(entry)}
    known['models'] = tuple(known.get('models') or ())
    return Instance(**known)


class InstanceList:
    """The last list received, in use while the platform is unreachable.

    ``listed`` holds the instances as received; in ``instances`` those that
    are being drained have the state ``leaving``.
    """

    def __init__(self, pool, platform, *, clock):
        self._pool = pool
        self._platform = platform
        self._clock = clock
        self._reachable = None
        self._listeners = []
        self._draining = frozenset()
        self.listed = ()
        self.instances = ()
        self.received_ms = None

    def on_change(self, function):
        """Call ``function(instances)`` after each list received."""
        self._listeners.append(function)

    def poll(self):
        """Read the list once; keep the old one on failure."""
        try:
            status, body = _http_out.exchange(
                self._pool,
                self._platform,
                'GET',
                '/instances',
                timeout_ms=POLL_TIMEOUT_MS,
                limit=MAX_LIST_BYTES,
            )
            if status != 200:
                raise ValueError(f'status {status}')
            self.replace(parse(body))
        except (OSError, ValueError) as exc:
            self._record_reachability(False, str(exc))
        else:
            self._record_reachability(True, '')

    def replace(self, instances):
        """Replace the list and call the listeners."""
        self.listed = tuple(instances)
        self.received_ms = self._clock.now_ms()
        self._publish()

    def set_draining(self, instance_ids):
        """Treat these instances as leaving."""
        self._draining = frozenset(instance_ids)
        self._publish()

    def _publish(self):
        self.instances = tuple(
            attrs.evolve(item, state=LEAVING)
            if item.id in self._draining
            else item
            for item in self.listed
        )
        for function in self._listeners:
            function(self.instances)

    def live(self, kind):
        """Return the live instances of ``kind``."""
        return [
            item
            for item in self.instances
            if item.kind == kind and item.state == LIVE
        ]

    def engines(self, model):
        """Return the live engines that serve ``model``."""
        return [item for item in self.live(ENGINE) if model in item.models]

    def services(self, name):
        """Return the live instances of the HTTP service ``name``."""
        return [item for item in self.live(SERVICE) if item.service == name]

    def models(self):
        """Return the names of all models of the listed engines."""
        return {
            model
            for item in self.instances
            if item.kind == ENGINE
            for model in item.models
        }

    def dump(self):
        """Return plain data for the state dump."""
        return {
            'reachable': self._reachable,
            'received_ms': self.received_ms,
            'instances': [attrs.asdict(item) for item in self.instances],
        }

    def _record_reachability(self, reachable, detail):
        if reachable == self._reachable:
            return
        is_first = self._reachable is None
        self._reachable = reachable
        if not reachable:
            paddle_kernel.emit(_events.LIST_UNAVAILABLE, detail=detail)
        elif not is_first:
            paddle_kernel.emit(_events.LIST_AVAILABLE)
