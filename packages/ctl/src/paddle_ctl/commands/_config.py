"""Commands that change customers, keys, classes, routes and presets."""

import hashlib
import secrets

from paddle_ctl.commands import _changes
from paddle_ctl.commands import _hooks

KEY_BYTES = 32
KEY_PREFIX = 'rp-'


def _one(names, usage):
    if len(names) != 1:
        raise _hooks.UsageError(f'usage: {usage}')
    return names[0]


class _Put:
    """Creates or updates one named object from ``key=value`` options."""

    def __init__(self, op, usage):
        self._op = op
        self.usage = usage

    def run(self, context, names, options):
        name = _one(names, self.usage)
        return _changes.submit(context, self._op, {'name': name, **options})


class _ByName:
    """Sends an operation that needs a name only."""

    def __init__(self, op, usage):
        self._op = op
        self.usage = usage

    def run(self, context, names, options):
        if options:
            raise _hooks.UsageError(f'usage: {self.usage}')
        args = {'name': _one(names, self.usage)}
        return _changes.submit(context, self._op, args)


class _List:
    """Shows one section of the configuration."""

    def __init__(self, section, usage):
        self._section = section
        self.usage = usage

    def run(self, context, names, options):
        config = context.client.get('/config').body
        return list(config['config'].get(self._section, []))


@_hooks.commands.register('key issue')
class IssueKey:
    """Creates a key; it is shown once and only its digest is stored."""

    usage = 'key issue CUSTOMER [expires_wall_ms=MS]'

    def run(self, context, names, options):
        customer = _one(names, self.usage)
        key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
        digest = hashlib.sha256(key.encode()).hexdigest()
        args = {'digest': digest, 'customer': customer, **options}
        result = _changes.submit(context, 'issue_key', args)
        if context.dry_run:
            return result
        return {**result, 'key': key, 'digest': digest}


@_hooks.commands.register('key revoke')
class RevokeKey:
    """Revokes the key with the given digest."""

    usage = 'key revoke DIGEST'

    def run(self, context, names, options):
        args = {'digest': _one(names, self.usage)}
        return _changes.submit(context, 'revoke_key', args)


@_hooks.commands.register('preset switch')
class SwitchPreset:
    """Puts another preset into effect."""

    usage = 'preset switch NAME'

    def run(self, context, names, options):
        args = {'name': _one(names, self.usage)}
        return _changes.submit(context, 'switch_preset', args)


def _register(name, build, *args):
    _hooks.commands.register(name)(lambda: build(*args))


for _noun, _section in (
    ('customer', 'customers'),
    ('class', 'classes'),
    ('route', 'routes'),
    ('preset', 'presets'),
):
    _register(
        f'{_noun} put',
        _Put,
        f'put_{_noun}',
        f'{_noun} put NAME [key=value ...]',
    )
    _register(
        f'{_noun} remove',
        _ByName,
        f'remove_{_noun}',
        f'{_noun} remove NAME',
    )
    _register(f'{_noun} list', _List, _section, f'{_noun} list')
_register('key list', _List, 'keys', 'key list')
