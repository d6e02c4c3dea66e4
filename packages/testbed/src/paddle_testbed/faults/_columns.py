"""Faults that the matrix injects, one per column."""

import paddle_kernel as kernel

from paddle_testbed.faults import _world

# Maps the name of a fault to (function, kinds of steps that it applies to,
# whether the step must have a sending process). The function injects the
# fault and may return the action for the message.
COLUMNS = {}


def _column(name, *kinds, sender=False):
    def register(function):
        COLUMNS[name] = (function, kinds, sender)
        return function

    return register


@_column('kill replica', _world.MESSAGE, _world.DISK)
def _kill_replica(environment, step):
    environment.servers[step.target].kill()


@_column('kill sender', _world.MESSAGE, sender=True)
def _kill_sender(environment, step):
    environment.run_control(step.source).kill()


@_column('freeze replica', _world.MESSAGE, _world.DISK)
def _freeze_replica(environment, step):
    environment.servers[step.target].run_control.freeze()


@_column('freeze sender', _world.MESSAGE, sender=True)
def _freeze_sender(environment, step):
    environment.run_control(step.source).freeze()


@_column('cut requests', _world.MESSAGE, sender=True)
def _cut_requests(environment, step):
    environment.network.cut(step.source, step.target)


@_column('cut answers', _world.MESSAGE, sender=True)
def _cut_answers(environment, step):
    environment.network.cut(step.target, step.source)


@_column('cut both ways', _world.MESSAGE, sender=True)
def _cut_both(environment, step):
    _cut_requests(environment, step)
    _cut_answers(environment, step)


@_column('lost disk', _world.MESSAGE, _world.DISK)
def _lost_disk(environment, step):
    environment.servers[step.target].kill()
    environment.lost_disk = step.target


@_column('slow disk', _world.MESSAGE, _world.DISK)
def _slow_disk(environment, step):
    server = environment.servers[step.target]
    server.disk_control.running.clear()
    server.run_control.unresponsive.set()


@_column('full disk', _world.MESSAGE, _world.DISK)
def _full_disk(environment, step):
    """Refuse all writes and syncs of a replica until the repair."""
    environment.servers[step.target].is_disk_full = True


@_column('all disks full', _world.DISK)
def _all_disks_full(environment, step):
    for server in environment.servers.values():
        server.is_disk_full = True


@_column('duplicate', _world.MESSAGE, sender=True)
def _duplicate(environment, step):
    """Deliver the message twice, and a third time after the repair."""
    environment.duplicates.append((step.target, step.message))
    return kernel.DUPLICATE


@_column('reorder', _world.MESSAGE, sender=True)
def _reorder(environment, step):
    return kernel.DELAY


@_column('lost answer', _world.MESSAGE, sender=True)
def _lost_answer(environment, step):
    return kernel.LOSE_ANSWER


@_column('second failure', _world.MESSAGE, _world.DISK)
def _second_failure(environment, step):
    environment.servers[step.target].kill()
    others = sorted(set(environment.servers) - {step.target})
    environment.second_victim = environment.fault_rng.choice(others)


@_column('power loss', _world.MESSAGE, _world.DISK)
def _power_loss(environment, step):
    """Kill all replicas at once; data that is not synced may be lost."""
    for server in environment.servers.values():
        server.kill()
