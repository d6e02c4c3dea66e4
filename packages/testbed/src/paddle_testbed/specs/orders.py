"""Model of orders with two processes that both act as lease holder.

The model has no lease: even without one, a receiver that ignores fencing
numbers and repeated ids must not start an order twice. Processes may be killed
at any step, changes may be lost, applied without an answer or applied late,
and finished orders may be trimmed at any time.
"""

import attrs
import minicheck
from paddle_coord import _orders
from paddle_coord import _register

from paddle_testbed.specs import _spec

FIELDS = ('book', 'nodes', 'started')
RECORD = 'record'
MARK = 'mark'
CLOSE = 'close'
WAITING = 'waiting'
APPLIED = 'applied'


@attrs.frozen(cache_hash=True)
class Node:
    """One process; ``pending`` is ``(operation, order id, state)``.

    ``timed_out`` is an operation whose caller stopped waiting,
    ``open_orders`` the open orders as last read and ``sendable`` the id of
    the order that may be sent.
    """

    number: int
    pending: tuple | None = None
    timed_out: tuple | None = None
    open_orders: tuple = ()
    sendable: str | None = None
    recorded: bool = False
    killed: bool = False


@attrs.frozen(kw_only=True)
class Rules:
    """Rules and bounds of a model; a seeded defect replaces some rules."""

    record: object = _orders.record
    resends_sent: bool = False
    sends_before_mark: bool = False
    sends_after_unknown_mark: bool = False
    delayed_kinds: tuple = ()
    kills: bool = False


def _own_order(node):
    return _orders.Order(id=f'{node.number}.1', verb='start')


def _apply(operation, book, node, rules):
    kind, order_id, _ = operation
    if kind == RECORD:
        new = rules.record(book, node.number, _own_order(node))
    elif kind == MARK:
        new = _orders.mark_sent(book, node.number, order_id)
    else:
        new = _orders.finish(book, node.number, order_id)
    return None if isinstance(new, _register.Reject) else new


def _after_success(node, order_id, kind):
    changes = {'pending': None}
    if kind == MARK:
        changes['sendable'] = order_id
    elif kind == RECORD:
        changes['recorded'] = True
    return attrs.evolve(node, **changes)


def _complete(node, book, rules):
    """Yield the possible outcomes of the pending operation."""
    kind, order_id, state = node.pending
    if state == APPLIED:
        yield 'answer', _after_success(node, order_id, kind), book
        yield 'lose answer', attrs.evolve(node, pending=None), book
        return
    new = _apply(node.pending, book, node, rules)
    if new is None:
        done = attrs.evolve(
            node, pending=None, recorded=node.recorded or kind == RECORD
        )
        yield 'rejected', done, book
    else:
        applied = attrs.evolve(node, pending=(kind, order_id, APPLIED))
        yield 'applied', applied, new
    if node.timed_out is None:
        operation = node.pending if kind in rules.delayed_kinds else None
        after = attrs.evolve(node, pending=None, timed_out=operation)
        if rules.sends_after_unknown_mark and kind == MARK:
            after = attrs.evolve(after, sendable=order_id)
        yield 'time out', after, book


def _start_operation(node, book, rules):
    """Yield the operations that an idle process may start."""
    if not node.recorded:
        pending = (RECORD, _own_order(node).id, WAITING)
        yield 'record', attrs.evolve(node, pending=pending), book
    adopted = _orders.adopt(book, node.number)
    if not isinstance(adopted, _register.Reject):
        open_orders = tuple(
            (order.id, order.state)
            for order in adopted.orders
            if order.state in _orders.OPEN_STATES
        )
        yield 'read', attrs.evolve(node, open_orders=open_orders), adopted
    for order_id, state in node.open_orders:
        if state == _orders.RECORDED:
            if rules.sends_before_mark:
                sendable = attrs.evolve(node, sendable=order_id)
                yield 'skip mark', sendable, book
            pending = (MARK, order_id, WAITING)
        elif rules.resends_sent:
            yield 'resend', attrs.evolve(node, sendable=order_id), book
            continue
        else:
            pending = (CLOSE, order_id, WAITING)
        rest = tuple(item for item in node.open_orders if item[0] != order_id)
        started = attrs.evolve(node, pending=pending, open_orders=rest)
        yield f'start {pending[0]} {order_id}', started, book


def _is_waiting(operation):
    return operation is not None and operation[2] == WAITING


def _node_steps(node, book, rules):
    if node.timed_out is not None:
        new = _apply(node.timed_out, book, node, rules)
        yield 'late change', attrs.evolve(node, timed_out=None), new or book
    if node.killed:
        return
    if rules.kills:
        # An operation in progress may still take effect.
        waiting = node.pending if _is_waiting(node.pending) else None
        yield 'killed', Node(node.number, timed_out=waiting, killed=True), book
    if node.pending is not None:
        yield from _complete(node, book, rules)
    elif node.sendable is None:
        yield from _start_operation(node, book, rules)


def _transitions(state, rules):
    book, nodes, started = state
    for index, node in enumerate(nodes):

        def put(new, at=index):
            return (*nodes[:at], new, *nodes[at + 1 :])

        for label, new, changed in _node_steps(node, book, rules):
            yield f'{node.number} {label}', (changed, put(new), started)
        if node.sendable is not None:
            after = put(attrs.evolve(node, sendable=None))
            yield f'{node.number} send lost', (book, after, started)
            order = node.sendable
            arrived = tuple(sorted((*started, order)))
            yield f'{node.number} send {order}', (book, after, arrived)
    still_open = tuple(
        order for order in book.orders if order.state in _orders.OPEN_STATES
    )
    if still_open != book.orders:
        yield 'trim', (attrs.evolve(book, orders=still_open), nodes, started)


def _build(name, rules):
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=(_orders.OrderList(), (Node(1), Node(2)), ()),
        transitions=lambda state: list(_transitions(state, rules)),
        invariants={
            'started_once': lambda fields: (
                len(fields['started']) == len(set(fields['started']))
            ),
        },
    )


def _record_ignoring_last(book, number, order):
    """Record an order again although it was trimmed: a seeded defect."""
    return _orders.record(attrs.evolve(book, last=(0, 0)), number, order)


def _spec_of(name, **rules):
    return _spec.Spec(name, lambda: _build(name, Rules(**rules)))


SPECS = [
    _spec_of('orders, kills', kills=True),
    _spec_of('orders, late marks', delayed_kinds=(MARK,)),
    _spec_of('orders, late records', delayed_kinds=(RECORD,)),
]

DEFECTS = [
    _spec_of('orders, sent order sent again', resends_sent=True),
    _spec_of('orders, sent before the mark', sends_before_mark=True),
    _spec_of('orders, unknown mark trusted', sends_after_unknown_mark=True),
    _spec_of('orders, trimmed id reused', record=_record_ignoring_last),
]
