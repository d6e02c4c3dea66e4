"""Tests of message faults at steps of claims and the configuration log."""

import random

import gevent
import pytest

import paddle_coord as coord
import paddle_kernel as kernel
from paddle_testbed import faults
from paddle_testbed.faults import rows_claims  # noqa: F401
from paddle_testbed.faults import rows_config_log  # noqa: F401

ACTIONS = (
    kernel.DROP,
    kernel.LOSE_ANSWER,
    kernel.DUPLICATE,
    kernel.DELAY,
)
KILL = 'kill'
ROWS = ('claims.run', 'claims.release', 'config_log.race') + (
    'config_log.collect',
)
# Time limit of one run; without a fault it takes a few hundredths of a second.
RUN_TIMEOUT_S = 20
# The fault matrix covers all steps, which takes minutes; here only every 41st
# is tested. 41 shares no factor with the number of messages in one round, so
# that the sample covers all kinds of messages.
STRIDE = 41
SEED = 7


class FaultEnvironment:
    """Replicas and processes on an in-memory network, without real syncs."""

    def __init__(self, folder):
        self.network = kernel.MemoryNetwork()
        self.addresses = []
        self.greenlets = {}
        self.replicas = []
        self._folder = folder

    def form(self, count):
        for index in range(count):
            address = f'replica{index}'
            replica = coord.Replica.open(
                self._folder / address,
                address,
                kernel.FakeClock(),
                sync=lambda descriptor: None,
            )
            self.replicas.append(replica)
            self.network.serve(address, replica.handle)
            self.addresses.append(address)
        transport = self.network.transport('admin')
        admin = coord.ReplicaAdmin(transport, kernel.FakeClock())
        admin.form(self.addresses).unwrap()

    def close(self):
        for replica in self.replicas:
            replica.stop()

    def proposer(self, name):
        transport = self.network.transport(name)
        return coord.Proposer(
            transport,
            self.addresses,
            kernel.FakeClock(),
            name,
            rng=random.Random(SEED),
        )

    def spawn(self, name, function, *args):
        self.greenlets[name] = gevent.spawn(function, *args)


def run(row_name, folder, step=None, action=None):
    """Run a row and return ``(number of steps, problems)``."""
    row = faults.ROWS.create(row_name)
    environment = FaultEnvironment(folder)
    row.start(environment)
    first_step = len(environment.network.steps)

    def on_call(call):
        if step is None or call.index != first_step + step:
            return kernel.DELIVER
        if action == KILL:
            victim = environment.greenlets.get(call.source)
            if victim is not None:
                victim.kill(block=False)
            return kernel.DROP
        return action

    environment.network.on_call = on_call
    row.act(environment)
    gevent.joinall(list(environment.greenlets.values()), timeout=RUN_TIMEOUT_S)
    steps = len(environment.network.steps) - first_step
    environment.network.on_call = lambda call: kernel.DELIVER
    environment.network.release()
    problems = row.verify(environment)
    environment.close()
    return steps, problems


@pytest.mark.parametrize('name', ROWS)
def test_row_holds_with_a_message_fault_at_sampled_steps(name, tmp_path):
    # Guards against a reported outcome that is wrong after one message is
    # lost, duplicated or delayed, or after a process is killed.
    steps, problems = run(name, tmp_path / 'plain')
    assert (steps > 0, problems) == (True, [])
    for step in range(0, steps, STRIDE):
        for action in (*ACTIONS, KILL):
            folder = tmp_path / f'{step}-{action}'
            assert (step, action, run(name, folder, step, action)[1]) == (
                step,
                action,
                [],
            )
