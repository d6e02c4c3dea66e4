"""The platform's list of backend servers, kept up to date by polling."""

import attrs

import paddle_kernel
from paddle_kernel import settings
from paddle_router import _events
from paddle_router import _http_out

ENGINE = 'engine'
SERVICE = 'service'
LIVE = 'live'
LEAVING = 'leaving'
MAX_LIST_BYTES = 16 * 1024 * 1024
POLL_TIMEOUT_MS = 2_000
MAX_COUNT = 2**32 - 1
MAX_MS = 2**53 - 1
MAX_PRICE = 1e12
MAX_LOGGED_ENTRIES = 10
MAX_SHOWN_CHARS = 60


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


def _is_text(value):
    # Lone surrogates and control characters are not printable.
    return isinstance(value, str) and value.isprintable()


def _is_optional_text(value):
    return value is None or _is_text(value)


def _is_optional_time(value):
    return value is None or settings.integer(-MAX_MS, MAX_MS).accepts(value)


def _is_list_of_texts(value):
    return value is None or (
        isinstance(value, list) and all(_is_text(item) for item in value)
    )


_IS_VALID = {
    'id': lambda value: _is_text(value) and bool(value),
    'address': lambda value: (
        _is_text(value) and settings.ADDRESS.accepts(value)
    ),
    'kind': _is_text,
    'service': _is_optional_text,
    'models': _is_list_of_texts,
    'slots': settings.integer(0, MAX_COUNT).accepts,
    'failure_domain': _is_text,
    'cheap': settings.BOOLEAN.accepts,
    'price_per_hour': settings.number(0, MAX_PRICE).accepts,
    'checks_numbers': settings.BOOLEAN.accepts,
    'can_resume': settings.BOOLEAN.accepts,
    'state': _is_text,
    'leaves_in_ms': _is_optional_time,
    'order_id': _is_optional_text,
}


def parse(body):
    """Return the instances in the body of a list answer, and the rest.

    The rest are texts that describe entries that cannot be used; they do not
    affect the others.

    :raises ValueError: if the body is malformed.
    """
    _document, entries = paddle_kernel.read_entries(
        body.decode('utf-8', 'replace'), 'instances'
    )
    instances, rejected = [], []
    for entry in entries:
        try:
            instances.append(_from_entry(entry))
        except ValueError as exc:
            rejected.append(str(exc))
    return tuple(instances), tuple(rejected)


def _from_entry(entry):
    """Return the :class:`Instance` of an entry.

    :raises ValueError: if the entry cannot be used.
    """
    if isinstance(entry, paddle_kernel.UnreadableEntry):
        raise ValueError(f'{entry.text}: {entry.reason}')
    if not isinstance(entry, dict):
        raise ValueError(f'an entry of type {type(entry).__name__}')
    label = entry.get('id')
    if not isinstance(label, str):
        label = '(no id)'
    label = label[:MAX_SHOWN_CHARS]
    for name in ('id', 'address'):
        if name not in entry:
            raise ValueError(f'{label!r}: no {name}')
    known = {name: entry[name] for name in _IS_VALID if name in entry}
    for name, value in known.items():
        if not _IS_VALID[name](value):
            raise ValueError(f'{label!r}: {name} is invalid')
    known['models'] = tuple(known.get('models') or ())
    return Instance(**known)


class InstanceList:
    """The last list received, in use while the platform is unreachable.

    ``listed`` holds the instances as received; in ``instances`` those that
    are being drained have the state ``leaving``.
    """

    def __init__(self, platform, *, clock):
        self._platform = platform
        self._clock = clock
        self._reachable = None
        self._listeners = []
        self._draining = frozenset()
        self._rejected = ()
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
                self._platform,
                'GET',
                '/instances',
                timeout_ms=POLL_TIMEOUT_MS,
                limit=MAX_LIST_BYTES,
            )
            if status != 200:
                raise ValueError(f'status {status}')
            instances, rejected = parse(body)
            self._log_rejected(rejected)
            self.replace(instances)
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

    def _log_rejected(self, rejected):
        """Log the entries that are not used, once until they change."""
        if rejected and rejected != self._rejected:
            paddle_kernel.emit(
                _events.ENTRIES_REJECTED,
                count=len(rejected),
                entries=list(rejected[:MAX_LOGGED_ENTRIES]),
            )
        self._rejected = rejected

    def _record_reachability(self, reachable, detail):
        if reachable == self._reachable:
            return
        is_first = self._reachable is None
        self._reachable = reachable
        if not reachable:
            paddle_kernel.emit(_events.LIST_UNAVAILABLE, detail=detail)
        elif not is_first:
            paddle_kernel.emit(_events.LIST_AVAILABLE)
