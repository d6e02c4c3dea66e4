"""Submission of configuration changes and comparison of configurations."""

import json
import uuid

from paddle_ctl.commands import _hooks

ACCEPTED = 200
CONFLICT = 409
REJECTED = 422


def submit(context, op, args):
    """Send a change and return the daemon's answer.

    A change can safely be sent again with the same id: the daemons answer
    with its first outcome.

    :raises RejectedError: or one of its subclasses.
    """
    version = context.expected_version
    if version is None:
        version = context.client.get('/config').body['version']
    body = {
        'id': context.change_id or str(uuid.uuid4()),
        'expected_version': version,
        'op': op,
        'args': args,
    }
    if context.dry_run:
        return _dry_run(context, body)
    answer = context.client.post('/changes', body)
    return _check_answer(answer, body)


def _check_answer(answer, body):
    if answer.status == ACCEPTED:
        return {**answer.body, 'id': body['id']}
    problem = {'answer': answer.body, 'id': body['id']}
    if answer.status == CONFLICT:
        raise _hooks.ConflictError(problem)
    if answer.status == REJECTED:
        raise _hooks.RejectedError(problem)
    raise _hooks.UnknownOutcomeError(problem)


def _dry_run(context, body):
    before = context.client.get('/config').body
    answer = context.client.post('/changes', {**body, 'dry_run': True})
    after = _check_answer(answer, body)['config']
    return difference(before, after)


def difference(before, after, path='$'):
    """Return the values that differ between two JSON documents, as rows.

    Objects in lists are matched by their name or digest if all have one.
    """
    before, after = _index_by_name(before), _index_by_name(after)
    if isinstance(before, dict) and isinstance(after, dict):
        rows = []
        for name in sorted(set(before) | set(after)):
            rows.extend(
                difference(before.get(name), after.get(name), f'{path}.{name}')
            )
        return rows
    if before == after:
        return []
    return [{'path': path, 'before': before, 'after': after}]


def _index_by_name(value):
    if not isinstance(value, list):
        return value
    for field in ('name', 'digest'):
        if all(isinstance(item, dict) and field in item for item in value):
            return {item[field]: item for item in value}
    return value


def parse_value(text):
    """Return the JSON value of ``text``, or ``text`` itself."""
    try:
        return json.loads(text)
    except ValueError:
        return text
