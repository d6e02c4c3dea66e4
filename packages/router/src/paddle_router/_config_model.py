"""Configuration model: customers, keys, classes, routes and presets.

The state is immutable. :func:`apply` is a pure function from a state and a
typed operation to the next state or to all findings. :class:`ConfigFold`
connects it to the configuration log.
"""

import functools

import attrs
import returns.result

import paddle_kernel as kernel
from paddle_kernel import settings
from paddle_router import _config_items


@attrs.frozen
class CreateCustomer:
    """Add a customer that does not exist yet."""

    item: _config_items.Customer


@attrs.frozen
class UpdateCustomer:
    """Replace an existing customer."""

    item: _config_items.Customer


@attrs.frozen
class PutCustomer:
    """Add or replace a customer."""

    item: _config_items.Customer


@attrs.frozen
class IssueKey:
    """Add a key of an existing customer."""

    item: _config_items.Key


@attrs.frozen
class PutClass:
    """Add or replace a class."""

    item: _config_items.RequestClass


@attrs.frozen
class PutRoute:
    """Add or replace a route."""

    item: _config_items.Route


@attrs.frozen
class PutPreset:
    """Add or replace a preset."""

    item: _config_items.Preset


@attrs.frozen(kw_only=True)
class RemoveCustomer:
    """Remove a customer together with its keys."""

    name: str = settings.field(_config_items.NAME)


@attrs.frozen(kw_only=True)
class RevokeKey:
    """Revoke a key permanently."""

    digest: str = settings.field(_config_items.DIGEST)


@attrs.frozen(kw_only=True)
class RemoveClass:
    """Remove a class that nothing refers to."""

    name: str = settings.field(_config_items.NAME)


@attrs.frozen(kw_only=True)
class RemoveRoute:
    """Remove a route."""

    name: str = settings.field(_config_items.NAME)


@attrs.frozen(kw_only=True)
class RemovePreset:
    """Remove a preset that is not active."""

    name: str = settings.field(_config_items.NAME)


@attrs.frozen(kw_only=True)
class SwitchPreset:
    """Make another preset the active one."""

    name: str = settings.field(_config_items.NAME)


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


def parse_operation(document):
    """Return ``Success`` of the typed operation in ``document``.

    ``document`` is parsed JSON and must be ``{"op": <name>, "args": {...}}``;
    otherwise the result is ``Failure`` of all findings.
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
    _check_exists(state.customers, operation.item.name, findings)
    return _put(state, 'customers', operation.item)


@_apply.register
def _put_customer(operation: PutCustomer, state, findings):
    return _put(state, 'customers', operation.item)


@_apply.register
def _remove_customer(operation: RemoveCustomer, state, findings):
    _check_exists(state.customers, operation.name, findings)
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
    _check_exists(state.customers, key.customer, findings, 'customer')
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
    _check_exists(state.classes, name, findings)
    for route in state.routes.values():
        if route.default_class == name:
            path = f'$.routes[{route.name}].default_class'
            findings.add(path, name, 'another class, or remove the route')
    for preset in state.presets.values():
        if any(item.name == name for item in preset.classes):
            path = f'$.presets[{preset.name}].classes'
            findings.add(path, name, 'no override of a removed class')
    return _remove(state, 'classes', name)


@_apply.register
def _put_route(operation: PutRoute, state, findings):
    route = operation.item
    _check_exists(
        state.classes, route.default_class, findings, 'default_class'
    )
    if route.kind == _config_items.SERVICE and route.service is None:
        findings.add('$.args.service', None, 'a name for the kind "service"')
    if route.kind == _config_items.MODEL and route.service is not None:
        findings.add(
            '$.args.service', route.service, 'null for the kind "model"'
        )
    for other in state.routes.values():
        is_duplicate = (other.method, other.path_prefix) == (
            route.method,
            route.path_prefix,
        )
        if is_duplicate and other.name != route.name:
            findings.add(
                '$.args.path_prefix',
                route.path_prefix,
                f'a method and prefix not used by route {other.name!r}',
            )
    return _put(state, 'routes', route)


@_apply.register
def _remove_route(operation: RemoveRoute, state, findings):
    _check_exists(state.routes, operation.name, findings)
    return _remove(state, 'routes', operation.name)


@_apply.register
def _put_preset(operation: PutPreset, state, findings):
    preset = operation.item
    seen = set()
    for index, item in enumerate(preset.classes):
        path = f'classes[{index}].name'
        _check_exists(state.classes, item.name, findings, path)
        if item.name in seen:
            findings.add(f'$.args.{path}', item.name, 'each class once')
        seen.add(item.name)
    new = _put(state, 'presets', preset)
    _check_shares(new, '$.args.classes', findings, (preset,))
    return new


@_apply.register
def _remove_preset(operation: RemovePreset, state, findings):
    _check_exists(state.presets, operation.name, findings)
    if operation.name == state.active_preset:
        findings.add(
            '$.args.name',
            operation.name,
            'a preset that is not active; switch to another one first',
        )
    return _remove(state, 'presets', operation.name)


@_apply.register
def _switch_preset(operation: SwitchPreset, state, findings):
    _check_exists(state.presets, operation.name, findings)
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


def _check_exists(items, name, findings, path='name'):
    if name not in items:
        existing_names = ', '.join(sorted(items)[:20]) or '(none exists)'
        findings.add(
            f'$.args.{path}', name, f'an existing name: {existing_names}'
        )


def _check_shares(state, path, findings, presets=None):
    """Check that the sum of ``min_share`` is at most 1 in each preset."""
    for preset in presets or state.presets.values():
        total = sum(
            _config_items.override(item, preset).min_share
            for item in state.classes.values()
        )
        if total > 1 + _config_items.SHARE_TOLERANCE:
            findings.add(
                path,
                round(total, 6),
                f'a sum of min_share of at most 1 in preset {preset.name!r}',
            )


class ConfigFold:
    """Adapter of this model for :class:`paddle_coord.ConfigLog`."""

    def initial(self):
        """Return the state before the first operation."""
        return _config_items.initial_state()

    def apply(self, state, operation):
        """Return the result of :func:`apply` for an operation in JSON form."""
        return parse_operation(operation).bind(functools.partial(apply, state))

    def dump(self, state):
        """Return ``state`` as JSON data, for a snapshot."""
        return _config_items.to_json(state)

    def load(self, data):
        """Return the state in the JSON data of a snapshot."""
        return _config_items.from_json(data)
