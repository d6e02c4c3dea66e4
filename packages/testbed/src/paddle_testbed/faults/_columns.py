"""Faults: the columns of the matrix."""

import paddle_kernel as kernel

from paddle_testbed.faults import _world

# Name to (function, kinds of steps it applies to, whether it needs the
# sending process). A function injects the fault and may return the action
# for the message.
COLUMNS = {}


def _column(name, *kinds, sender=False):
    def register(function):
        COLUMNS[name] = (function, kinds, sender)
        return function

    return register


@_column('kill replica', _world.MESSAGE, _world.DISK)
def _kill_replica(world, seen):
    world.servers[seen.target].kill()


@_column('kill sender', _world.MESSAGE, sender=True)
def _kill_sender(world, seen):
    world.gate(seen.source).kill()


@_column('freeze replica', _world.MESSAGE, _world.DISK)
def _freeze_replica(world, seen):
    world.servers[seen.target].gate.freeze()


@_column('freeze sender', _world.MESSAGE, sender=True)
def _freeze_sender(world, seen):
    world.gate(seen.source).freeze()


@_column('cut requests', _world.MESSAGE, sender=True)
def _cut_requests(world, seen):
    world.network.cut(seen.source, seen.target)


@_column('cut answers', _world.MESSAGE, sender=True)
def _cut_answers(world, seen):
    world.network.cut(seen.target, seen.source)


@_column('cut both ways', _world.MESSAGE, sender=True)
def _cut_both(world, seen):
    _cut_requests(world, seen)
    _cut_answers(world, seen)


@_column('lost disk', _world.MESSAGE, _world.DISK)
def _lost_disk(world, seen):
    world.servers[seen.target].kill()
    world.lost_disk = seen.target


@_column('slow disk', _world.MESSAGE, _world.DISK)
def _slow_disk(world, seen):
    server = world.servers[seen.target]
    server.disk.running.clear()
    server.gate.blocked.set()


@_column('duplicate', _world.MESSAGE, sender=True)
def _duplicate(world, seen):
    """Deliver the message twice now and once more after the repair."""
    world.late.append((seen.target, seen.message))
    return kernel.DUPLICATE


@_column('reorder', _world.MESSAGE, sender=True)
def _reorder(world, seen):
    return kernel.DELAY


@_column('lost answer', _world.MESSAGE, sender=True)
def _lost_answer(world, seen):
    return kernel.LOSE_ANSWER


@_column('second failure', _world.MESSAGE, _world.DISK)
def _second_failure(world, seen):
    world.servers[seen.target].kill()
    others = sorted(set(world.servers) - {seen.target})
    world.second = world.fault_rng.choice(others)


@_column('power loss', _world.MESSAGE, _world.DISK)
def _power_loss(world, seen):
    """Kill all replicas at once; what was not synced may be lost."""
    for server in world.servers.values():
        server.kill()
