"""Model of usage windows with two processes that seal at the same time.

The model has no lease and no time: any later window may be sealed at any time,
a process may be killed or lose an answer at any step, and the daemon may flush
usage of any window at any time. The usage of each window is read in a separate
step.
"""

import functools
import json

import attrs
import minicheck
from paddle_coord import _register
from paddle_coord import _seal
from paddle_coord import _windows

from paddle_testbed.specs import _spec

DAEMON = 'd'
WINDOW_MS = 1
FIELDS = ('flushed', 'usage', 'head', 'seals', 'reports', 'nodes')


@attrs.frozen(cache_hash=True)
class Node:
    """A sealing process.

    ``head`` is the head that it read or set, ``has_chosen`` whether it has
    chosen the window to seal, ``usage_read`` the usage read so far and
    ``candidate`` the seal data that it writes next.
    """

    head: bytes | None = None
    has_chosen: bool = False
    usage_read: tuple = ()
    candidate: bytes | None = None


IDLE = Node()


@attrs.frozen(kw_only=True)
class Rules:
    """Rules and bounds of a model; a seeded defect replaces some rules."""

    write_once: object = _seal.write_once
    advance_head: object = _seal.advance_head
    billed_by: object = _seal.billed_by
    reports_candidate: bool = False
    removes_unbilled: bool = False
    seals_own_choice: bool = False
    windows: int = 3
    max_flushes: tuple = (2, 1, 0)


def _usage_counts(requests):
    return {'c': {'k': {'requests': requests}}} if requests else {}


def _chain(seals, window):
    """Return the chain of decided seals up to ``window``, in order."""
    chain = []
    while window is not None and seals[window] is not None:
        seal = _seal.Seal.from_bytes(seals[window])
        chain.append(seal)
        window = seal.previous
    return chain[::-1]


@functools.lru_cache(maxsize=100_000)
def _candidate(head_data, usage_read, seals, rules):
    head = _seal.Head.from_bytes(head_data)
    usage = {
        (window, DAEMON): json.loads(data)
        for window, data in enumerate(usage_read)
        if data is not None
    }
    billed = rules.billed_by(_chain(seals, head.previous))
    return _seal.build_seal(
        head.window, WINDOW_MS, head.previous, usage, billed
    ).to_bytes()


def _report(seal_data):
    return _seal.Seal.from_bytes(seal_data).report


def _flush_usage(state, rules):
    flushed, usage, *rest = state
    for window, limit in enumerate(rules.max_flushes):
        if flushed[window] < limit:
            count = flushed[window] + 1
            data = _seal.merge(usage[window], _usage_counts(count))
            yield (
                f'flush {window}',
                (
                    _replaced(flushed, window, count),
                    _replaced(usage, window, data),
                    *rest,
                ),
            )


def _replaced(items, index, value):
    return (*items[:index], value, *items[index + 1 :])


def _remove_usage(state, rules):
    """Remove the billed usage of windows before the last decided seal."""
    flushed, usage, head, seals, *rest = state
    last = _last_decided(head, seals)
    if last is None:
        return
    billed = _seal.billed_by(_chain(seals, last))
    for window in range(last):
        data = usage[window]
        billed_counts = billed.get((window, DAEMON), {})
        if data is not None and (
            rules.removes_unbilled or _windows._is_billed(data, billed_counts)
        ):
            yield (
                f'remove usage {window}',
                (flushed, _replaced(usage, window, None), head, seals, *rest),
            )


def _last_decided(head_data, seals):
    head = _seal.Head.from_bytes(head_data)
    if head is None:
        return None
    return head.window if seals[head.window] is not None else head.previous


def _send_reports(state):
    flushed, usage, head, seals, reports, nodes = state
    for window, data in enumerate(seals):
        if data is None:
            continue
        sent = reports[window] | {_report(data)}
        if sent != reports[window]:
            after = _replaced(reports, window, sent)
            yield (
                f'report {window}',
                (flushed, usage, head, seals, after, nodes),
            )


def _choose_window(node, head_data, seals, rules):
    """Yield ``(label, node, head)`` for the window to seal next."""
    head_data_read = node.head or None
    head = _seal.Head.from_bytes(head_data_read)
    if head is not None and seals[head.window] is None:
        yield 'go on', attrs.evolve(node, has_chosen=True), head_data
        return
    first = 0 if head is None else head.window + 1
    for window in range(first, rules.windows):
        new = rules.advance_head(head_data, head, window)
        if isinstance(new, _register.Reject):
            if rules.seals_own_choice:
                previous = None if head is None else head.window
                own_head = _seal.Head(previous, window).to_bytes()
                yield (
                    f'choose {window}',
                    Node(own_head, has_chosen=True),
                    head_data,
                )
        else:
            yield f'choose {window}', Node(new, has_chosen=True), new


def _node_steps(node, state, rules):
    """Yield the next steps of a process as ``(label, node, state)``."""
    flushed, usage, head, seals, reports, _ = state
    if node == IDLE:
        # b'' means that the head read is empty, None that none was read.
        with_head = attrs.evolve(node, head=head or b'')
        yield 'read head', with_head, state
    elif not node.has_chosen:
        for label, new, changed in _choose_window(node, head, seals, rules):
            yield label, new, (flushed, usage, changed, *state[3:])
    elif node.candidate is None:
        window = _seal.Head.from_bytes(node.head).window
        usage_read = (*node.usage_read, usage[len(node.usage_read)])
        if len(usage_read) <= window:
            yield (
                'read usage',
                attrs.evolve(node, usage_read=usage_read),
                state,
            )
        else:
            data = _candidate(node.head, usage_read, seals, rules)
            if rules.reports_candidate:
                sent = _replaced(
                    reports, window, reports[window] | {_report(data)}
                )
                state = (flushed, usage, head, seals, sent, state[5])
            yield (
                'build seal',
                attrs.evolve(node, usage_read=(), candidate=data),
                state,
            )
    else:
        window = _seal.Head.from_bytes(node.head).window
        seal = _seal.Seal.from_bytes(node.candidate)
        new = rules.write_once(seals[window], seal)
        if not isinstance(new, _register.Reject):
            seals = _replaced(seals, window, new)
        yield f'seal {window}', IDLE, (flushed, usage, head, seals, *state[4:])


def _transitions(state, rules):
    yield from _flush_usage(state, rules)
    yield from _remove_usage(state, rules)
    yield from _send_reports(state)
    nodes = state[5]
    for index, node in enumerate(nodes):

        def put(new, at=index):
            # The processes are interchangeable, so they are sorted.
            return tuple(sorted(_replaced(nodes, at, new), key=repr))

        for label, new, after in _node_steps(node, state, rules):
            yield label, (*after[:5], put(new))
        if node != IDLE:
            yield 'killed', (*state[:5], put(IDLE))


@functools.lru_cache(maxsize=100_000)
def _billed_rows(seal_data):
    """Return the requests in a report as ``(window, requests)`` pairs."""
    report = json.loads(_report(seal_data))
    rows = [(int(report['window']), row) for row in report['usage']]
    for entry in report['late']:
        rows += [(int(entry['window']), row) for row in entry['usage']]
    return [(window, row['requests']) for window, row in rows]


def _billed_once(fields):
    billed = [0] * len(fields['flushed'])
    for data in fields['seals']:
        for window, requests in _billed_rows(data) if data else ():
            billed[window] += requests
    return all(
        billed_counts <= flushed
        for billed_counts, flushed in zip(
            billed, fields['flushed'], strict=True
        )
    )


def _nothing_lost(fields):
    last = _last_decided(fields['head'], fields['seals'])
    billed = _seal.billed_by(_chain(fields['seals'], last))
    for window, flushed in enumerate(fields['flushed']):
        billed_counts = billed.get((window, DAEMON), {})
        if fields['usage'][window] is None and billed_counts != _usage_counts(
            flushed
        ):
            return False
    return True


def _build(name, rules):
    count = rules.windows
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=(
            (0,) * count,
            (None,) * count,
            None,
            (None,) * count,
            (frozenset(),) * count,
            (IDLE, IDLE),
        ),
        transitions=lambda state: list(_transitions(state, rules)),
        invariants={
            'one_report': lambda fields: all(
                len(sent) <= 1 for sent in fields['reports']
            ),
            'billed_once': _billed_once,
            'nothing_lost': _nothing_lost,
        },
    )


def _overwrite(_data, seal):
    return seal.to_bytes()


def _billed_without_late(seals):
    """Ignore the late usage that earlier seals have billed: a defect."""
    return _seal.billed_by(attrs.evolve(seal, late={}) for seal in seals)


def _spec_of(name, **rules):
    return _spec.Spec(name, lambda: _build(name, Rules(**rules)))


SPECS = [
    _spec_of('windows, two windows', windows=2, max_flushes=(2, 1)),
    _spec_of('windows, late usage twice', max_flushes=(2, 0, 0)),
]

DEFECTS = [
    _spec_of('windows, sealed twice', write_once=_overwrite),
    _spec_of('windows, late billed twice', billed_by=_billed_without_late),
    _spec_of('windows, order not agreed', seals_own_choice=True),
    _spec_of('windows, candidate reported', reports_candidate=True),
    _spec_of('windows, unbilled removed', removes_unbilled=True),
]
