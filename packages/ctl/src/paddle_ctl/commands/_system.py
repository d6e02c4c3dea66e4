"""Commands that show the state of daemons and change the replica set."""

from paddle_ctl.commands import _hooks

OK = 200


class _GetCommand:
    """Shows the answer to a GET request, or one of its fields."""

    def __init__(self, path, usage, part=None):
        self._path = path
        self._part = part
        self.usage = usage

    def run(self, context, names, options):
        body = context.client.get(self._path).body
        return body if self._part is None else body.get(self._part)


class _PostCommand:
    """Sends a POST request with the addresses from the command line."""

    def __init__(self, path, usage, fields):
        self._path = path
        self._fields = fields
        self.usage = usage

    def run(self, context, names, options):
        if len(names) != len(self._fields):
            raise _hooks.UsageError(f'usage: {self.usage}')
        lists = [name.split(',') for name in names]
        answer = context.client.post(
            self._path, dict(zip(self._fields, lists, strict=True))
        )
        if answer.status != OK:
            raise _hooks.RejectedError(answer.body)
        return answer.body


def _register(name, command_class, *args):
    _hooks.commands.register(name)(lambda: command_class(*args))


_register('status', _GetCommand, '/status', 'status')
_register('dump', _GetCommand, '/dump', 'dump')
_register('metrics', _GetCommand, '/metrics', 'metrics')
_register('config show', _GetCommand, '/config', 'config show')
for _part in ('daemons', 'replicas', 'lease', 'engines', 'windows'):
    _register(f'{_part} list', _GetCommand, '/status', f'{_part} list', _part)
_register(
    'replica form',
    _PostCommand,
    '/replicas/form',
    'replica form ADDRESS,ADDRESS,ADDRESS',
    ('addresses',),
)
_register(
    'replica replace',
    _PostCommand,
    '/replicas/replace',
    'replica replace OLD,OLD,OLD NEW,NEW,NEW',
    ('old', 'new'),
)
_register('drain', _PostCommand, '/drain', 'drain', ())
