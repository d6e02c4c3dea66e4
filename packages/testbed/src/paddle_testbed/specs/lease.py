"""Model of the lease with clock drift, freezes, kills and unknown outcomes.

Times in a state are relative to the clock of their process and limited to the
range in which they matter, so time itself is not bounded; the fencing numbers
and the renewals of the first number are. One clock advances 3 steps while the
other advances 2.

Receivers that check fencing numbers are safe with any freeze between check and
write. Receivers that ignore them are safe while that freeze stays below the
guard, which is the stated limit of the design (section 3.5).
"""

import attrs
import minicheck
from paddle_coord import _lease
from paddle_coord import _register

from paddle_testbed.specs import _spec

CLOCK_PHASES = 2
TIMING = _lease.LeaseTiming(
    duration_ms=3, guard_ms=1, drift_permille=500, in_flight_ms=1
)
RENEW = 'renew'
RELEASE = 'release'
TAKE_OVER = 'take over'
# ``highest`` is the highest fencing number received; ``stale_send`` is set
# once a receiver took a message although a higher number was held or received.
FIELDS = (
    'phase',
    'value',
    'nodes',
    'message',
    'highest',
    'kills',
    'stale_send',
)


@attrs.frozen
class Pending:
    """A change in progress; ``applied`` is its value once decided."""

    kind: str
    observed: _lease.LeaseValue | None
    sent_ms: int
    applied: _lease.LeaseValue | None = None


@attrs.frozen(cache_hash=True)
class Node:
    """State of one process.

    ``timed_out`` is a change whose caller stopped waiting and that may still
    take effect. ``checked`` is the fencing number and the age of a check
    whose write has not been sent.
    """

    name: str
    lease: _lease.LeaseState = _lease.LeaseState()
    pending: Pending | None = None
    timed_out: Pending | None = None
    checked: tuple | None = None


@attrs.frozen(kw_only=True)
class Rules:
    """Rules and bounds of a model; a seeded defect replaces some rules."""

    timing: _lease.LeaseTiming = TIMING
    held_number: object = _lease.held_number
    may_take_over: object = _lease.may_take_over
    counts_from_answer: bool = False
    confirms_unknown: bool = False
    receiver_checks: bool = False
    freeze_limit: int | None = None
    sends: bool = False
    releases: bool = False
    late_changes: bool = False
    fast_clock: int = 1
    names: str = 'ab'
    starts_held: bool = True
    max_number: int = 2
    max_renewals: int = 1
    max_kills: int = 0


def _validity_ms(timing):
    return timing.right_ends_ms(0)


def _age_pending(pending, steps, timing):
    if pending is None:
        return None
    sent = max(pending.sent_ms - steps, -_validity_ms(timing))
    return attrs.evolve(pending, sent_ms=sent)


def _age_lease(lease, steps, node, timing):
    """Shift the times; times that no longer matter become equal."""
    valid_until_ms = lease.valid_until_ms
    if valid_until_ms is not None:
        valid_until_ms = (
            valid_until_ms - steps if valid_until_ms > steps else None
        )
    observed_ms = lease.observed_at_ms
    if observed_ms is not None:
        observed_ms = max(observed_ms - steps, -timing.wait_ms(lease.observed))
        if lease.observed and lease.observed.holder == node.name:
            observed_ms = 0
    return attrs.evolve(
        lease, valid_until_ms=valid_until_ms, observed_at_ms=observed_ms
    )


def _age(node, steps, rules):
    timing = rules.timing
    checked = node.checked
    if checked is not None and rules.freeze_limit is not None:
        checked = (checked[0], checked[1] + steps)
    return attrs.evolve(
        node,
        lease=_age_lease(node.lease, steps, node, timing),
        pending=_age_pending(node.pending, steps, timing),
        timed_out=_age_pending(node.timed_out, steps, timing),
        checked=checked,
    )


def _apply(pending, value, name, rules):
    """Return the register's value after the change, ``None`` if rejected."""
    if pending.kind == RENEW:
        new = _lease.renew(value, name)
    elif pending.kind == RELEASE:
        new = _lease.give_back(value, name)
    else:
        new = _lease.take_over(value, pending.observed, name)
    return None if isinstance(new, _register.Reject) else new


def _time_passes(state, rules):
    phase, value, nodes, message, highest, kills, stale_send = state
    if message is not None and message[2] >= rules.timing.in_flight_ms:
        return
    limit = rules.freeze_limit
    if limit is not None and any(
        node.checked is not None and node.checked[1] >= limit for node in nodes
    ):
        return
    steps = [1] * len(nodes)
    steps[rules.fast_clock] += phase == CLOCK_PHASES - 1
    nodes = tuple(
        _age(node, count, rules)
        for node, count in zip(nodes, steps, strict=True)
    )
    if message is not None:
        message = (message[0], message[1], message[2] + 1)
    phase = (phase + 1) % CLOCK_PHASES
    yield 'time', (phase, value, nodes, message, highest, kills, stale_send)


def _deliver(state, rules):
    phase, value, nodes, message, highest, kills, stale_send = state
    if message is None:
        return
    sender, number, _ = message
    yield 'lose', (phase, value, nodes, None, highest, kills, stale_send)
    if rules.receiver_checks:
        stale_send = stale_send or False
        highest = max(highest, number)
    else:
        successor = any(
            (rules.held_number(node.lease, 0) or 0) > number for node in nodes
        )
        stale_send = stale_send or successor or number < highest
        highest = max(highest, number)
    yield (
        f'deliver {number} of {sender}',
        (phase, value, nodes, None, highest, kills, stale_send),
    )


def _start_change(node, current, rules):
    lease = node.lease
    value = lease.observed
    held = rules.held_number(lease, 0) is not None
    if held or (value and value.holder == node.name):
        # Bounded by the decided value, since unknown outcomes are retried.
        if current.number == 1 and current.renewals < rules.max_renewals:
            yield attrs.evolve(node, pending=Pending(RENEW, value, 0))
    elif rules.may_take_over(lease, 0, rules.timing):
        if value is None or value.number < rules.max_number:
            yield attrs.evolve(node, pending=Pending(TAKE_OVER, value, 0))
    # A process does not release between the check and the write of a send.
    if rules.releases and held and node.checked is None:
        yield attrs.evolve(
            node,
            lease=_lease.without_validity(lease),
            pending=Pending(RELEASE, value, 0),
        )


def _after_timeout(node, timed_out, rules):
    """Return the process after the time-out of its change."""
    lease = node.lease
    if rules.confirms_unknown and node.pending.kind == RENEW:
        lease = _lease.confirm(
            lease, lease.observed, node.pending.sent_ms, 0, rules.timing
        )
    return attrs.evolve(node, lease=lease, pending=None, timed_out=timed_out)


def _node_steps(node, value, rules):
    """Yield ``(label, node, value)`` for steps within one process."""
    pending = node.pending
    if pending is None:
        lease = _lease.observe(node.lease, value, 0)
        yield 'read', attrs.evolve(node, lease=lease), value
        for started in _start_change(node, value, rules):
            yield 'start change', started, value
    elif pending.applied is None:
        new = _apply(pending, value, node.name, rules)
        if new is None:
            lease = _lease.observe(node.lease, value, 0)
            if pending.kind != TAKE_OVER:
                lease = _lease.without_validity(lease)
            idle = attrs.evolve(node, lease=lease, pending=None)
            yield 'rejected', idle, value
        else:
            applied = attrs.evolve(pending, applied=new)
            yield 'applied', attrs.evolve(node, pending=applied), new
            timed_out = pending if rules.late_changes else None
            if node.timed_out is None:
                yield 'time out', _after_timeout(node, timed_out, rules), value
    elif pending.kind == RELEASE:
        yield 'released', attrs.evolve(node, pending=None), value
    else:
        sent = 0 if rules.counts_from_answer else pending.sent_ms
        lease = _lease.confirm(
            node.lease, pending.applied, sent, 0, rules.timing
        )
        yield 'answer', attrs.evolve(node, lease=lease, pending=None), value
        yield 'lose answer', attrs.evolve(node, pending=None), value
    if node.timed_out is not None:
        new = _apply(node.timed_out, value, node.name, rules)
        yield 'late change', attrs.evolve(node, timed_out=None), new or value
    number = rules.held_number(node.lease, 0) if rules.sends else None
    if number is not None and node.checked is None:
        yield 'check', attrs.evolve(node, checked=(number, 0)), value


def _transitions(state, rules):
    phase, value, nodes, message, highest, kills, stale_send = state
    yield from _time_passes(state, rules)
    yield from _deliver(state, rules)
    for index, node in enumerate(nodes):
        others = nodes[:index], nodes[index + 1 :]
        for label, new, changed in _node_steps(node, value, rules):
            after = (*others[0], new, *others[1])
            yield (
                f'{node.name} {label}',
                (phase, changed, after, message, highest, kills, stale_send),
            )
        if node.checked is not None and message is None:
            sent = (node.name, node.checked[0], 0)
            new = attrs.evolve(node, checked=None)
            after = (*others[0], new, *others[1])
            yield (
                f'{node.name} write',
                (phase, value, after, sent, highest, kills, stale_send),
            )
        if kills < rules.max_kills:
            after = (*others[0], Node(node.name + "'"), *others[1])
            yield (
                f'{node.name} killed',
                (phase, value, after, message, highest, kills + 1, stale_send),
            )


def _one_holder(rules):
    def holds(fields):
        held = [rules.held_number(node.lease, 0) for node in fields['nodes']]
        return held.count(None) >= len(held) - 1

    return holds


def _numbers_differ(fields):
    numbers = [node.lease.number for node in fields['nodes']]
    taken = [number for number in numbers if number]
    return len(taken) == len(set(taken))


def _initial(rules):
    nodes = tuple(Node(name) for name in rules.names)
    if not rules.starts_held:
        return None, nodes
    first = nodes[0]
    value = _lease.LeaseValue(first.name, 1, 0)
    lease = _lease.confirm(first.lease, value, 0, 0, rules.timing)
    return value, (attrs.evolve(first, lease=lease), *nodes[1:])


def _build(name, rules):
    value, nodes = _initial(rules)
    return minicheck.Protocol(
        name=name,
        candidate=False,
        fields=FIELDS,
        initial=(0, value, nodes, None, 0, 0, False),
        transitions=lambda state: list(_transitions(state, rules)),
        invariants={
            'one_holder': _one_holder(rules),
            'numbers_differ': _numbers_differ,
            'no_send_beside_successor': lambda fields: (
                not fields['stale_send']
            ),
        },
    )


@attrs.frozen(kw_only=True)
class _ShortWait(_lease.LeaseTiming):
    def wait_ms(self, value):
        return 0 if value is None else self.duration_ms


@attrs.frozen(kw_only=True)
class _NoWaitAfterRelease(_lease.LeaseTiming):
    def wait_ms(self, value):
        if value is not None and value.holder is None:
            return 0
        return super().wait_ms(value)


def _held_while_observed(lease, _now_ms):
    """Use the last value observed instead of the local clock: a defect."""
    observed = lease.observed
    if observed is None or observed.number != lease.number:
        return None
    return lease.number


def _spec_of(name, **rules):
    return _spec.Spec(name, lambda: _build(name, Rules(**rules)))


def _defect(name, timing=None, **rules):
    if timing is not None:
        rules['timing'] = timing(**attrs.asdict(TIMING))
    return _spec_of(name, **rules)


SPECS = [
    _spec_of('lease, three numbers', starts_held=False, max_number=3),
    _spec_of('lease, kill', starts_held=False, max_renewals=2, max_kills=1),
    _spec_of('lease, late changes', late_changes=True, max_renewals=2),
    _spec_of('lease, three processes', names='abc', max_renewals=0),
    _spec_of(
        'lease, receiver ignores numbers',
        sends=True,
        releases=True,
        freeze_limit=TIMING.guard_ms,
        max_renewals=0,
        max_kills=1,
    ),
    _spec_of(
        'lease, fast holder',
        sends=True,
        releases=True,
        freeze_limit=TIMING.guard_ms,
        fast_clock=0,
    ),
    _spec_of(
        'lease, receiver checks numbers',
        sends=True,
        receiver_checks=True,
        max_kills=1,
    ),
]

DEFECTS = [
    _defect('lease used past its end', held_number=_held_while_observed),
    _defect(
        'lease taken over too early',
        timing=_ShortWait,
        sends=True,
        freeze_limit=TIMING.guard_ms,
    ),
    _defect('lease counted from the answer', counts_from_answer=True),
    _defect('lease extended by unknown renewal', confirms_unknown=True),
    _defect(
        'lease taken at once after release',
        timing=_NoWaitAfterRelease,
        sends=True,
        releases=True,
        freeze_limit=TIMING.guard_ms,
    ),
    # Not a defect of the code: the stated limit for such receivers.
    _defect('lease, freeze beyond the guard', sends=True),
]
