"""Command that explains where a request would go, for gateways."""

import json
import urllib.parse

from paddle_ctl.commands import _hooks

PATH = '/explain'
OK = 200
OPTIONS = ('host', 'path', 'method', 'customer', 'tokens', 'parts')
SERVER_COLUMNS = (
    *('domain', 'cost', 'running', 'slots', 'own', 'reported'),
    *('allowance', 'pace_ms', 'told_pace'),
)


class _ExplainCommand:
    """Shows the decision of each gateway and what it sees of the servers.

    Nothing is sent to a server, and no key is needed.
    """

    usage = (
        'explain host=HOST path=PATH [method=GET] [customer=NAME] '
        '[tokens=N] [parts=ID:TOKENS,...]'
    )

    def run(self, context, names, options):
        if names or not {'host', 'path'} <= set(options) <= set(OPTIONS):
            raise _hooks.UsageError(f'usage: {self.usage}')
        query = urllib.parse.urlencode(
            {name: _text(value) for name, value in options.items()}
        )
        answers = context.client.get_each(f'{PATH}?{query}')
        for answer in answers.values():
            if answer.status not in (OK, None):
                raise _hooks.RejectedError({'answer': answer.body})
        if all(answer.status is None for answer in answers.values()):
            raise _hooks.UnknownOutcomeError(
                {address: item.body for address, item in answers.items()}
            )
        return [
            row
            for address, answer in answers.items()
            for row in _rows(address, answer.body)
        ]


def _rows(address, found):
    """Return a row for each decision, followed by those of its servers."""
    rows = []
    for service in found.get('services') or [found]:
        common = {
            'gateway': found.get('gateway', address),
            'route': found.get('route'),
            'service': service.get('service'),
        }
        decision = service.get('decision', 'no answer')
        reason = service.get('reason') or service.get('error')
        rows.append(
            {**common, 'server': None, 'says': f'{decision}: {reason}'}
        )
        candidates = service.get('candidates', ())
        rows += [
            {
                **common,
                'server': server['id'],
                'says': server['excluded']
                or ('candidate' if server['id'] in candidates else ''),
                **{name: server.get(name) for name in SERVER_COLUMNS},
            }
            for server in service.get('servers', ())
        ]
    return rows


def _text(value):
    """Return an option as it was written; options are parsed as JSON."""
    return value if isinstance(value, str) else json.dumps(value)


_hooks.commands.register('explain')(_ExplainCommand)
