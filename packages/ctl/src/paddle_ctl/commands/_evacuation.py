"""Commands that evacuate failure domains, for a controller's address."""

import urllib.parse

from paddle_ctl.commands import _hooks

PATH = '/evacuation'
OK = 200
INVALID = 400
NOT_SERVED = 404


class _ShowCommand:
    """Shows the evacuated failure domains."""

    usage = 'evacuation show'

    def run(self, context, names, options):
        return _checked(context.client.get(PATH))


class _OrderCommand:
    """Orders that a failure domain is evacuated, or used again.

    The order can safely be sent again. ``servers`` in the answer counts the
    listed servers of the domain; 0 may be due to a mistyped name.
    """

    def __init__(self, usage, send):
        self.usage = usage
        self._send = send

    def run(self, context, names, options):
        if len(names) != 1:
            raise _hooks.UsageError(f'usage: {self.usage}')
        name = urllib.parse.quote(names[0], safe='')
        return _checked(self._send(context.client, f'{PATH}/{name}'))


def _checked(answer):
    if answer.status == OK:
        return answer.body
    if answer.status in (INVALID, NOT_SERVED):
        raise _hooks.RejectedError(
            {'answer': answer.body, 'status': answer.status}
        )
    raise _hooks.UnknownOutcomeError({'answer': answer.body})


_hooks.commands.register('evacuation show')(_ShowCommand)
_hooks.commands.register('evacuation start')(
    lambda: _OrderCommand(
        'evacuation start DOMAIN',
        lambda client, path: client.post(path, None),
    )
)
_hooks.commands.register('evacuation stop')(
    lambda: _OrderCommand(
        'evacuation stop DOMAIN', lambda client, path: client.delete(path)
    )
)
