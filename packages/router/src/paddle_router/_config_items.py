"""Configuration data classes: customers, keys, classes, routes, presets.

All are immutable. :mod:`paddle_router._config_model` defines the operations
that lead from one state to the next.
"""

import re
import sys

import attrs
import cattrs.preconf.json

from paddle_kernel import settings

MODEL = 'model'
SERVICE = 'service'
ROUTE_KINDS = (MODEL, SERVICE)
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
DEFAULT_CLASS = 'default'
ORDINARY = 'ordinary'
PEAK = 'peak'
MAINTENANCE = 'maintenance'
DEFAULT_MIN_SHARE = 0.02
# Above zero, so that no class can be configured to starve.
LOWEST_MIN_SHARE = 0.001
# Allowance for rounding errors in sums of shares.
SHARE_TOLERANCE = 1e-9

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_DIGEST = re.compile(r'[0-9a-f]{64}')
_converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)
# The same names occur in customers, keys and classes; interning them saves a
# tenth of the memory.
_converter.register_structure_hook(str, lambda value, _: sys.intern(value))


def _matches(pattern, allowed):
    def accepts(value):
        return isinstance(value, str) and bool(pattern.fullmatch(value))

    return settings.Check(accepts, allowed)


NAME = _matches(_NAME, '1..64 letters, digits, ".", "_" or "-"')
DIGEST = _matches(_DIGEST, 'a SHA-256 digest of 64 hexadecimal digits')
PATH_PREFIX = _matches(re.compile(r'/[!-~]*'), 'a path that starts with "/"')
TARGET_MS = settings.integer(1, 3_600_000, 'ms')
WEIGHT = settings.number(0.001, 1_000)
SHARE = settings.number(LOWEST_MIN_SHARE, 1)
RATE = settings.Optional(settings.integer(0, 1_000_000_000, 'per s'))


@attrs.frozen(kw_only=True)
class Customer:
    """A customer; limits apply to all daemons together, ``None`` is none."""

    name: str = settings.field(NAME)
    weight: float = settings.field(WEIGHT, default=1.0)
    requests_per_s: int | None = settings.field(RATE, default=None)
    tokens_per_s: int | None = settings.field(RATE, default=None)


@attrs.frozen(kw_only=True)
class Key:
    """An API key of a customer, stored only as its SHA-256 digest."""

    digest: str = settings.field(DIGEST)
    customer: str = settings.field(NAME)
    expires_wall_ms: int | None = settings.field(
        settings.Optional(settings.integer(0, 2**53, 'ms since 1970')),
        default=None,
    )
    revoked: bool = settings.field(settings.BOOLEAN, default=False)


@attrs.frozen(kw_only=True)
class RequestClass:
    """A class of requests; tier 1 is the highest."""

    name: str = settings.field(NAME)
    tier: int = settings.field(settings.integer(1, 100))
    first_token_target_ms: int = settings.field(TARGET_MS, default=1_400)
    inter_token_target_ms: int = settings.field(TARGET_MS, default=53)
    min_share: float = settings.field(SHARE, default=DEFAULT_MIN_SHARE)
    weight: float = settings.field(WEIGHT, default=1.0)


@attrs.frozen(kw_only=True)
class Route:
    """The target of requests with a given method and path prefix.

    Requests on ``open`` routes need no API key. ``service`` is set only if
    ``kind`` is ``service``.
    """

    name: str = settings.field(NAME)
    method: str = settings.field(settings.choice(*METHODS))
    path_prefix: str = settings.field(PATH_PREFIX)
    kind: str = settings.field(settings.choice(*ROUTE_KINDS))
    service: str | None = settings.field(settings.Optional(NAME), default=None)
    idempotent: bool = settings.field(settings.BOOLEAN, default=True)
    open: bool = settings.field(settings.BOOLEAN, default=False)
    default_class: str = settings.field(NAME, default=DEFAULT_CLASS)


@attrs.frozen(kw_only=True)
class ClassOverride:
    """Changes that a preset makes to a class; ``None`` changes nothing."""

    name: str = settings.field(NAME)
    weight: float | None = settings.field(
        settings.Optional(WEIGHT), default=None
    )
    min_share: float | None = settings.field(
        settings.Optional(SHARE), default=None
    )
    requests_per_s: int | None = settings.field(RATE, default=None)
    tokens_per_s: int | None = settings.field(RATE, default=None)
    admitted: bool = settings.field(settings.BOOLEAN, default=True)


@attrs.frozen(kw_only=True)
class Preset:
    """A named set of overrides; exactly one preset is active."""

    name: str = settings.field(NAME)
    classes: tuple[ClassOverride, ...] = settings.field(
        settings.ListOf(settings.Nested(ClassOverride)), default=()
    )


@attrs.frozen(kw_only=True)
class EffectiveClass:
    """A class with the overrides of the active preset applied."""

    name: str
    tier: int
    first_token_target_ms: int
    inter_token_target_ms: int
    min_share: float
    weight: float
    requests_per_s: int | None
    tokens_per_s: int | None
    admitted: bool


@attrs.frozen(kw_only=True)
class State:
    """One version of the configuration. The dicts must not be modified.

    ``keys`` is keyed by digest, the other dicts by name.
    """

    customers: dict[str, Customer]
    keys: dict[str, Key]
    classes: dict[str, RequestClass]
    routes: dict[str, Route]
    presets: dict[str, Preset]
    active_preset: str

    def effective_class(self, name):
        """Return the :class:`EffectiveClass` called ``name`` or ``None``."""
        base = self.classes.get(name)
        if base is None:
            return None
        return override(base, self.presets[self.active_preset])


def initial_state():
    """Return version 0: one class, the chat route and three presets."""
    default = RequestClass(name=DEFAULT_CLASS, tier=3)
    chat = Route(
        name='chat',
        method='POST',
        path_prefix='/v1/chat/completions',
        kind=MODEL,
    )
    names = (ORDINARY, PEAK, MAINTENANCE)
    return State(
        customers={},
        keys={},
        classes={default.name: default},
        routes={chat.name: chat},
        presets={name: Preset(name=name) for name in names},
        active_preset=ORDINARY,
    )


def override(base, preset):
    """Return ``base`` with the overrides of ``preset`` applied."""
    change = next(
        (item for item in preset.classes if item.name == base.name),
        ClassOverride(name=base.name),
    )
    options = attrs.asdict(base)
    for name in ('weight', 'min_share'):
        value = getattr(change, name)
        if value is not None:
            options[name] = value
    return EffectiveClass(
        **options,
        requests_per_s=change.requests_per_s,
        tokens_per_s=change.tokens_per_s,
        admitted=change.admitted,
    )


def to_json(state):
    """Return ``state`` as JSON data with a list for each dict."""
    data = {
        item.name: [
            _converter.unstructure(entry)
            for entry in getattr(state, item.name).values()
        ]
        for item in attrs.fields(State)
        if item.name != 'active_preset'
    }
    return {**data, 'active_preset': state.active_preset}


def from_json(data):
    """Return the state in ``data``, the inverse of :func:`to_json`."""
    sections = {
        'customers': Customer,
        'keys': Key,
        'classes': RequestClass,
        'routes': Route,
        'presets': Preset,
    }
    options = {}
    for section, cls in sections.items():
        items = [_converter.structure(entry, cls) for entry in data[section]]
        options[section] = {
            item.digest if section == 'keys' else item.name: item
            for item in items
        }
    return State(**options, active_preset=data['active_preset'])
