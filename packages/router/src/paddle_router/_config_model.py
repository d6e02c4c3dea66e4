"""Configuration model: customers, keys, classes, routes and presets.

The state is immutable. :func:`apply` is a pure function from a state and a
typed operation to the next state or to all findings. :class:`ConfigFold`
connects it to the configuration log.
"""

import functools
import re

import attrs
import cattrs.preconf.json
import returns.result

import paddle_kernel as kernel
from paddle_kernel import settings

MODEL = 'model'
SERVICE = 'service'
ROUTE_KINDS = (MODEL, SERVICE)
METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE')
DEFAULT_CLASS = 'default'
ORDINARY = 'ordinary'
PEAK = 'peak'
MAINTENANCE = 'maintenance'
MIN_SHARE = 0.02
# No class may starve, so no share can be configured to be zero.
LOWEST_SHARE = 0.001
# Sums of shares are rounded binary fractions.
SHARE_TOLERANCE = 1e-9

_NAME = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_DIGEST = re.compile(r'[0-9a-f]{64}')
_converter = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


def _matches(pattern, allowed):
    def accepts(value):
        return isinstance(value, str) and bool(pattern.fullmatch(value))

    return settings.Check(accepts, allowed)


NAME = _matches(_NAME, '1..64 letters, digits, ".", "_" or "-"')
DIGEST = _matches(_DIGEST, 'a SHA-256 digest of 64 hexadecimal digits')
PATH_PREFIX = _matches(re.compile(r'/[!-~]*'), 'a path that starts with "/"')
TARGET_MS = settings.integer(1, 3_600_000, 'ms')
WEIGHT = settings.number(0.001, 1_000)
SHARE = settings.number(LOWEST_SHARE, 1)
RATE = settings.Optional(settings.integer(0, 1_000_000_000, 'per s'))


@attrs.frozen(kw_only=True)
class Customer:
    """A customer; limits hold over all daemons, ``None`` is no limit."""

    name: str = settings.field(NAME)
    weight: float = settings.field(WEIGHT, default=1.0)
    requests_per_s: int | None = settings.field(RATE, default=None)
    tokens_per_s: int | None = settings.field(RATE, default=None)


@attrs.frozen(kw_only=True)
class Key:
    """A caller's key, known by its SHA-256 digest only."""

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
    min_share: float = settings.field(SHARE, default=MIN_SHARE)
    weight: float = settings.field(WEIGHT, default=1.0)


@attrs.frozen(kw_only=True)
class Route:
    """Where requests of a method below a path prefix go.

    ``open`` routes need no key. ``service`` is set for the kind ``service``
    only.
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
    """What a preset changes in one class; ``None`` changes nothing."""

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
    """A class as the active preset puts it into effect."""

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
    """One version of the configuration. The dicts are never changed.

    All are keyed by name, ``keys`` by digest.
    """

    customers: dict[str, Customer]
    keys: dict[str, Key]
    classes: dict[str, RequestClass]
    routes: dict[str, Route]
    presets: dict[str, Preset]
    active_preset: str

    def effective_class(self, name):
        """Return the :class:`EffectiveClass` of ``name``, None if unknown."""
        base = self.classes.get(name)
        if base is None:
            return None
        return _override(base, self.presets[self.active_preset])


@attrs.frozen
class CreateCustomer:
    """Add a customer that does not exist yet."""

    item: Customer


@attrs.frozen
class UpdateCustomer:
    """Replace an existing customer."""

    item: Customer


@attrs.frozen
class PutCustomer:
    """Add or replace a customer."""

    item: Customer


@attrs.frozen
class IssueKey:
    """Add a key of an existing customer."""

    item: Key


@attrs.frozen
class PutClass:
    """Add or replace a class."""

    item: RequestClass


@attrs.frozen
class PutRoute:
    """Add or replace a route."""

    item: Route


@attrs.frozen
class PutPreset:
    """Add or replace a preset."""

    item: Preset


@attrs.frozen(kw_only=True)
class RemoveCustomer:
    """Remove a customer together with its keys."""

    name: str = settings.field(NAME)


@attrs.frozen(kw_only=True)
class RevokeKey:
    """Revoke a key for good."""

    digest: str = settings.field(DIGEST)


@attrs.frozen(kw_only=True)
class RemoveClass:
    """Remove a class that nothing refers to."""

    name: str = settings.field(NAME)


@attrs.frozen(kw_only=True)
class RemoveRoute:
    """Remove a route."""

    name: str = settings.field(NAME)


@attrs.frozen(kw_only=True)
class RemovePreset:
    """Remove a preset that is not active."""

    name: str = settings.field(NAME)


@attrs.frozen(kw_only=True)
class SwitchPreset:
    """Make another preset the active one."""

    name: str = settings.field(NAME)


OPERATIONS = {
    'create_customer': CreateCustomer,
    'update_customer': UpdateCustomer,
    'put_customer': PutCustomer,
    'remove_customer': RemoveCustomer,
    'issue_key': IssueKey,
    'revoke_key': RevokeKey,
    'put_class': PutClass,
    'remove_class': RemoveClass,
    'put_route': PutRoute,
    'remove_route': RemoveRoute,
    'put_preset': PutPreset,
    'remove_preset': RemovePreset,
    'switch_preset': SwitchPreset,
}


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


def parse_operation(document):
    """Return ``Success`` of the typed operation in parsed JSON.

    ``document`` is ``{"op": <name>, "args": {...}}``; returns ``Failure`` of
    all findings otherwise.
    """
    findings = kernel.Findings()
    if not isinstance(document, dict):
        findings.add('$', document, 'an object with "op" and "args"')
        return returns.result.Failure(tuple(findings))
    for name in sorted(set(document) - {'op', 'args'}):
        findings.add(f'$.{name}', document[name], 'a known key: args, op')
    op = document.get('op', settings.MISSING)
    cls = OPERATIONS.get(op) if isinstance(op, str) else None
    if cls is None:
        findings.add('$.op', op, 'one of ' + ', '.join(sorted(OPERATIONS)))
        return returns.result.Failure(tuple(findings))
    try:
        operation = _load_operation(cls, document.get('args', {}))
    except kernel.FindingsError as exc:
        return returns.result.Failure((*findings, *exc.findings))
    if findings:
        return returns.result.Failure(tuple(findings))
    return returns.result.Success(operation)


def _load_operation(cls, args):
    fields = attrs.fields_dict(cls)
    if 'item' not in fields:
        return settings.load(cls, args, '$.args')
    return cls(settings.load(fields['item'].type, args, '$.args'))


def apply(state, operation):
    """Return ``Success`` of the next state or ``Failure`` of all findings."""
    findings = kernel.Findings()
    new = _apply(operation, state, findings)
    if findings:
        return returns.result.Failure(tuple(findings))
    return returns.result.Success(new)


@functools.singledispatch
def _apply(operation, state, findings):
    raise TypeError(f'no operation of the configuration: {operation!r}')


@_apply.register
def _create_customer(operation: CreateCustomer, state, findings):
    name = operation.item.name
    if name in state.customers:
        findings.add('$.args.name', name, 'a name that is not in use')
    return _put(state, 'customers', operation.item)


@_apply.register
def _update_customer(operation: UpdateCustomer, state, findings):
    _check_known(state.customers, operation.item.name, findings)
    return _put(state, 'customers', operation.item)


@_apply.register
def _put_customer(operation: PutCustomer, state, findings):
    return _put(state, 'customers', operation.item)


@_apply.register
def _remove_customer(operation: RemoveCustomer, state, findings):
    _check_known(state.customers, operation.name, findings)
    keys = {
        digest: key
        for digest, key in state.keys.items()
        if key.customer != operation.name
    }
    return attrs.evolve(_remove(state, 'customers', operation.name), keys=keys)


@_apply.register
def _issue_key(operation: IssueKey, state, findings):
    key = operation.item
    if key.digest in state.keys:
        findings.add('$.args.digest', key.digest, 'a digest not in use')
    _check_known(state.customers, key.customer, findings, 'customer')
    return attrs.evolve(state, keys={**state.keys, key.digest: key})


@_apply.register
def _revoke_key(operation: RevokeKey, state, findings):
    key = state.keys.get(operation.digest)
    if key is None:
        findings.add(
            '$.args.digest', operation.digest, 'the digest of an issued key'
        )
        return state
    revoked = attrs.evolve(key, revoked=True)
    return attrs.evolve(state, keys={**state.keys, key.digest: revoked})


@_apply.register
def _put_class(operation: PutClass, state, findings):
    new = _put(state, 'classes', operation.item)
    _check_shares(new, '$.args.min_share', findings)
    return new


@_apply.register
def _remove_class(operation: RemoveClass, state, findings):
    name = operation.name
    _check_known(state.classes, name, findings)
    for route in state.routes.values():
        if route.default_class == name:
            place = f'$.routes[{route.name}].default_class'
            findings.add(place, name, 'another class, or remove the route')
    for preset in state.presets.values():
        if any(item.name == name for item in preset.classes):
            place = f'$.presets[{preset.name}].classes'
            findings.add(place, name, 'no override of a removed class')
    return _remove(state, 'classes', name)


@_apply.register
def _put_route(operation: PutRoute, state, findings):
    route = operation.item
    _check_known(state.classes, route.default_class, findings, 'default_class')
    if route.kind == SERVICE and route.service is None:
        findings.add('$.args.service', None, 'a name for the kind "service"')
    if route.kind == MODEL and route.service is not None:
        findings.add(
            '$.args.service', route.service, 'null for the kind "model"'
        )
    for other in state.routes.values():
        same = (other.method, other.path_prefix) == (
            route.method,
            route.path_prefix,
        )
        if same and other.name != route.name:
            findings.add(
                '$.args.path_prefix',
                route.path_prefix,
                f'a method and prefix not used by route {other.name!r}',
            )
    return _put(state, 'routes', route)


@_apply.register
def _remove_route(operation: RemoveRoute, state, findings):
    _check_known(state.routes, operation.name, findings)
    return _remove(state, 'routes', operation.name)


@_apply.register
def _put_preset(operation: PutPreset, state, findings):
    preset = operation.item
    seen = set()
    for index, item in enumerate(preset.classes):
        place = f'classes[{index}].name'
        _check_known(state.classes, item.name, findings, place)
        if item.name in seen:
            findings.add(f'$.args.{place}', item.name, 'each class once')
        seen.add(item.name)
    new = _put(state, 'presets', preset)
    _check_shares(new, '$.args.classes', findings, (preset,))
    return new


@_apply.register
def _remove_preset(operation: RemovePreset, state, findings):
    _check_known(state.presets, operation.name, findings)
    if operation.name == state.active_preset:
        findings.add(
            '$.args.name',
            operation.name,
            'a preset that is not active; switch to another one first',
        )
    return _remove(state, 'presets', operation.name)


@_apply.register
def _switch_preset(operation: SwitchPreset, state, findings):
    _check_known(state.presets, operation.name, findings)
    return attrs.evolve(state, active_preset=operation.name)


def _put(state, section, item):
    items = {**getattr(state, section), item.name: item}
    return attrs.evolve(state, **{section: items})


def _remove(state, section, name):
    items = {
        key: item
        for key, item in getattr(state, section).items()
        if key != name
    }
    return attrs.evolve(state, **{section: items})


def _check_known(items, name, findings, place='name'):
    if name not in items:
        known = ', '.join(sorted(items)[:20]) or '(none exists)'
        findings.add(f'$.args.{place}', name, f'an existing name: {known}')


def _check_shares(state, place, findings, presets=None):
    """Check that the guaranteed shares fit under each of ``presets``."""
    for preset in presets or state.presets.values():
        total = sum(
            _override(item, preset).min_share
            for item in state.classes.values()
        )
        if total > 1 + SHARE_TOLERANCE:
            findings.add(
                place,
                round(total, 6),
                f'a sum of min_share of at most 1 in preset {preset.name!r}',
            )


def _override(base, preset):
    override = next(
        (item for item in preset.classes if item.name == base.name),
        ClassOverride(name=base.name),
    )
    options = attrs.asdict(base)
    for name in ('weight', 'min_share'):
        value = getattr(override, name)
        if value is not None:
            options[name] = value
    return EffectiveClass(
        **options,
        requests_per_s=override.requests_per_s,
        tokens_per_s=override.tokens_per_s,
        admitted=override.admitted,
    )


def to_json(state):
    """Return ``state`` as JSON data with a list for each section."""
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
    """Return the state that :func:`to_json` returned as ``data``."""
    sections = {
        'customers': Customer,
        'keys': Key,
        'classes': RequestClass,
        'routes': Route,
        'presets': Preset,
    }
    options = {
        section: {
            entry['digest' if section == 'keys' else 'name']: (
                _converter.structure(entry, cls)
            )
            for entry in data[section]
        }
        for section, cls in sections.items()
    }
    return State(**options, active_preset=data['active_preset'])


class ConfigFold:
    """Meaning of the operations for :class:`paddle_coord.ConfigLog`."""

    def initial(self):
        """See :class:`paddle_coord.Fold`."""
        return initial_state()

    def apply(self, state, operation):
        """Apply an operation given as JSON data."""
        return parse_operation(operation).bind(functools.partial(apply, state))

    def dump(self, state):
        """See :func:`to_json`."""
        return to_json(state)

    def load(self, data):
        """See :func:`from_json`."""
        return from_json(data)
