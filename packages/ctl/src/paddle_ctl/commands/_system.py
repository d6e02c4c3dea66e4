"""Commands that look at the processes and change the set of replicas."""

from paddle_ctl.commands import _hooks

OK = 200


class _Get:
    """Shows the answer to one GET request, or a part of it."""

    def __init__(self, path, usage, part=None):
        self._path = path
        self._part = part
        self.usage = usage

    def run(self, context, names, options):
        body = context.client.get(self._path).body
        return body if self._part is None else body.get(self._part)


class _Post:
    """Sends one POST request with the addresses of the command line."""

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


def _register(name, build, *args):
    _hooks.commands.register(name)(lambda: build(*args))


_register('status', _Get, '/status', 'status')
_register('dump', _Get, '/dump', 'dump')
_register('metrics', _Get, '/metrics', 'metrics')
_register('config show', _Get, '/config', 'config show')
for _part in ('daemons', 'replicas', 'lease', 'engines', 'windows'):
    _register(f'{_part} list', _Get, '/status', f'{_part} list', _part)
_register(
    'replica form',
    _Post,
    '/replicas/form',
    'replica form ADDRESS,ADDRESS,ADDRESS',
    ('addresses',),
)
_register(
    'replica replace',
    _Post,
    '/replicas/replace',
    'replica replace OLD,OLD,OLD NEW,NEW,NEW',
    ('old', 'new'),
)
_register('drain', _Post, '/drain', 'drain', ())
