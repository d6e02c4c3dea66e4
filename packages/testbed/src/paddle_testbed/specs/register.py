"""Model of one register: changes, retries, restarts and a lost disk."""

import functools

import attrs

from paddle_testbed.specs import _machine
from paddle_testbed.specs import _spec

REPLICAS = _machine.members('ABC')


@attrs.frozen(kw_only=True)
class Setup:
    """Proposers and faults of a model.

    ``restart`` is the name of a proposer that may crash and start again with
    a new change, ``lost_disks`` the number of disks that may be lost.
    """

    proposers: tuple
    restart: str = ''
    lost_disks: int = 0


class RegisterMachine(_machine.Machine):
    """One register in one view.

    ``process`` of the state is the number of lost disks.
    """

    def __init__(self, setup, rules):
        super().__init__(
            views=_machine.single_view(REPLICAS),
            replicas=REPLICAS,
            proposers=setup.proposers,
            rules=rules,
        )
        self._setup = setup

    def initial(self):
        return super().initial()._replace(process=0)

    def process_steps(self, state):
        if state.process >= self._setup.lost_disks:
            return []
        return [
            self._lose_disk(state, replica)
            for replica in range(len(state.cells))
        ]

    def proposer_steps(self, state, index, proposer):
        steps = super().proposer_steps(state, index, proposer)
        running = proposer.phase in (_machine.PREPARE, _machine.ACCEPT)
        may_restart = proposer.name == self._setup.restart
        if running and may_restart and not proposer.restarted:
            steps.append(self._restart(state, index, proposer))
        return steps

    def distinct_replicas(self, state):
        """Return the replicas, but only one of those without any state."""
        used_replicas = set()
        for proposer in state.proposers:
            used_replicas.update(item[0] for item in proposer.promises)
            used_replicas |= proposer.accepted
        replicas, has_unused = [], False
        for index, cell in enumerate(state.cells):
            original = state.identities[index] == REPLICAS[index].identity
            if (
                original
                and cell == _machine.EMPTY
                and index not in used_replicas
            ):
                if has_unused:
                    continue
                has_unused = True
            replicas.append(index)
        return replicas

    def _lose_disk(self, state, replica):
        identity = state.identities[replica]
        if self.rules.fresh_identity:
            identity += ' new'
        identities = _machine.replaced(state.identities, replica, identity)
        return (
            f'r{replica} loses its disk',
            state.with_cell(replica, _machine.EMPTY)._replace(
                identities=identities, process=state.process + 1
            ),
        )

    def _restart(self, state, index, proposer):
        """Crash and start again with an empty state."""
        is_renamed = self.rules.fresh_incarnation
        new = _machine.Proposer(
            proposer.name + '2' if is_renamed else proposer.name,
            proposer.change.upper(),
            (proposer.ballot.counter,),
            restarted=True,
        )
        return f'{proposer.name} restarts', state.with_proposer(index, new)


def _build(name, setup, rules):
    return RegisterMachine(setup, rules).model(name)


def _spec_of(name, setup, **rules):
    build = functools.partial(_build, name, setup, _machine.Rules(**rules))
    return _spec.Spec(name, build)


# The counters interleave, so that either proposer can have the higher ballot.
RETRY = Setup(
    proposers=(
        _machine.Proposer('p', 'a', (1, 3)),
        _machine.Proposer('q', 'b', (2,)),
    )
)
READ = Setup(
    proposers=(
        _machine.Proposer('p', 'a', (1,)),
        _machine.Proposer('q', '', (2,)),
        _machine.Proposer('r', '', (3,)),
    )
)
RESTART = Setup(
    proposers=(
        _machine.Proposer('p', 'a', (1,)),
        _machine.Proposer('q', '', (2,)),
    ),
    restart='p',
)
LOST_DISK = Setup(
    proposers=(
        _machine.Proposer('p', 'a', (1,)),
        _machine.Proposer('q', 'b', (2,)),
    ),
    lost_disks=1,
)

SPECS = (
    _spec_of('register/retry', RETRY),
    _spec_of('register/read', READ),
    _spec_of('register/restart', RESTART),
    _spec_of('register/lost disk', LOST_DISK),
)

DEFECTS = (
    _spec_of('register/no promise check', RETRY, checks_promise=False),
    _spec_of('register/change applied twice', RETRY, resolves_attempts=False),
    _spec_of('register/read not decided', READ, decides_reads=False),
    _spec_of(
        'register/ballot reused after restart',
        RESTART,
        fresh_incarnation=False,
    ),
    _spec_of(
        'register/lost disk votes under the old identity',
        LOST_DISK,
        fresh_identity=False,
    ),
)
