"""Runs the model checker: ``python -m paddle_testbed.model [word ...]``.

Checks all specifications and seeded defects in ``paddle_testbed.specs``, or
only the ones with one of the given words in their name. Exits with an error
when a specification is not proved exhaustively or a defect is not refuted.
"""

import dataclasses
import importlib
import pkgutil
import sys
import time

import attrs
import minicheck

from paddle_testbed import specs


@attrs.frozen
class Outcome:
    """Result of one search.

    ``steps`` is the length of the shortest counterexample and ``violated``
    the name of the invariant that it violates; both are ``None`` if no
    counterexample was found.
    """

    states: int
    depth: int
    exhaustive: bool
    steps: int | None
    violated: str | None

    @property
    def proved(self):
        """Whether all states were visited and none violates an invariant."""
        return self.exhaustive


def check(spec):
    """Search the states of ``spec`` and return the :class:`Outcome`."""
    protocol = spec.build()
    depths = {protocol.initial: 0}
    violations = []

    def transitions(state):
        if violations:
            # Ends the search, since the counterexample found is the shortest.
            return []
        next_depth = depths[state] + 1
        successors = protocol.transitions(state)
        for _, successor in successors:
            depths.setdefault(successor, next_depth)
        return successors

    def recording_violations(predicate):
        def holds(fields):
            result = predicate(fields)
            if not result:
                violations.append(fields)
            return result

        return holds

    result = minicheck.check_safety(
        dataclasses.replace(
            protocol,
            transitions=transitions,
            invariants={
                name: recording_violations(predicate)
                for name, predicate in protocol.invariants.items()
            },
        ),
        max_states=spec.max_states,
    )
    return _outcome(result, max(depths.values()))


def _outcome(result, depth):
    steps_by_invariant = {
        name: len(item['counterexample']) - 1
        for name, item in result['properties'].items()
        if item['holds'] is False
    }
    violated = (
        min(steps_by_invariant, key=steps_by_invariant.get)
        if steps_by_invariant
        else None
    )
    return Outcome(
        states=result['reachable_states'],
        depth=depth,
        exhaustive=result['exhaustive'] and not steps_by_invariant,
        steps=steps_by_invariant.get(violated),
        violated=violated,
    )


def load():
    """Return all specifications and all seeded defects as two lists."""
    proofs, defects = [], []
    for info in pkgutil.iter_modules(specs.__path__):
        if info.name.startswith('_'):
            continue
        module = importlib.import_module(f'{specs.__name__}.{info.name}')
        proofs.extend(module.SPECS)
        defects.extend(module.DEFECTS)
    return proofs, defects


def _verdict(outcome):
    if outcome.steps is not None:
        return f'refuted: {outcome.violated} in {outcome.steps} steps'
    return 'exhaustive' if outcome.exhaustive else 'not exhaustive'


def _run(kind, spec, is_expected):
    started = time.monotonic()
    outcome = check(spec)
    seconds = time.monotonic() - started
    as_expected = is_expected(outcome)
    print(
        f'{"ok  " if as_expected else "FAIL"} {kind:6} {spec.name:36} '
        f'{outcome.states:8} states  depth {outcome.depth:3}  '
        f'{seconds:5.1f} s  {_verdict(outcome)}',
        flush=True,
    )
    return as_expected


def main(words):
    """Check the models selected by ``words`` and return the exit code."""
    proofs, defects = load()
    runs = [('spec', spec, lambda item: item.proved) for spec in proofs]
    runs += [
        ('defect', spec, lambda item: item.steps is not None)
        for spec in defects
    ]
    selected = [
        run
        for run in runs
        if not words or any(word in run[1].name for word in words)
    ]
    if not selected:
        print(f'no specification matches {words}', file=sys.stderr)
        return 2
    failed = [run[1].name for run in selected if not _run(*run)]
    print(f'{len(selected) - len(failed)} as expected, {len(failed)} not')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
