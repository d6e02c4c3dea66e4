"""Commands that change customers, keys, classes, routes and presets."""

import hashlib
import secrets

from paddle_ctl.commands import _changes
from paddle_ctl.commands import _hooks

KEY_BYTES = 32
KEY_PREFIX = 'rp-'


def _single_name(names, usage):
    if len(names) != 1:
        raise _hooks.UsageError(f'usage: {usage}')
    return names[0]


class _PutCommand:
    """Creates or updates one named object from ``key=value`` options."""

    def __init__(self, op, usage):
        self._op = op
        self.usage = usage

    def run(self, context, names, options):
        name = _single_name(names, self.usage)
        return _changes.submit(context, self._op, {'name': name, **options})


class _NameCommand:
    """Sends an operation whose only argument is a name."""

    def __init__(self, op, usage):
        self._op = op
        self.usage = usage

    def run(self, context, names, options):
        if options:
            raise _hooks.UsageError(f'usage: {self.usage}')
        args = {'name': _single_name(names, self.usage)}
        return _changes.submit(context, self._op, args)


class _ListCommand:
    """Shows one section of the configuration."""

    def __init__(self, section, usage):
        self._section = section
        self.usage = usage

    def run(self, context, names, options):
        config = context.client.get('/config').body
        return list(config['config'].get(self._section, []))


@_hooks.commands.register('key issue')
class IssueKey:
    """Creates an API key, shows it once and stores only its digest."""

    usage = 'key issue CUSTOMER [expires_wall_ms=MS]'

    def run(self, context, names, options):
        customer = _single_name(names, self.usage)
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
        args = {'digest': _single_name(names, self.usage)}
        return _changes.submit(context, 'revoke_key', args)


@_hooks.commands.register('preset switch')
class SwitchPreset:
    """Makes another preset the active one."""

    usage = 'preset switch NAME'

    def run(self, context, names, options):
        args = {'name': _single_name(names, self.usage)}
        return _changes.submit(context, 'switch_preset', args)


def _register(name, command_class, *args):
    _hooks.commands.register(name)(lambda: command_class(*args))


for _noun, _section in (
    ('customer', 'customers'),
    ('class', 'classes'),
    ('route', 'routes'),
    ('preset', 'presets'),
):
    _register(
        f'{_noun} put',
        _PutCommand,
        f'put_{_noun}',
        f'{_noun} put NAME [key=value ...]',
    )
    _register(
        f'{_noun} remove',
        _NameCommand,
        f'remove_{_noun}',
        f'{_noun} remove NAME',
    )
    _register(f'{_noun} list', _ListCommand, _section, f'{_noun} list')
_register('key list', _ListCommand, 'keys', 'key list')
