"""The replica of this daemon, if it has a disk, and its register."""

import pathlib

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _events

REPLICA_DIR = 'replica'


class Hosting:
    """Serves other daemons on the peer address.

    ``traffic`` counts the bytes of this service.

    ``replica`` is ``None`` without a disk, or when the replica cannot be
    opened; the daemon then runs without voting.
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._server = None
        self.replica = None
        self.traffic = paddle_kernel.Traffic()
        self.soft_state = paddle_coord.SoftState(clock)

    def start(self):
        """Open the replica and listen; without a data directory do nothing."""
        if self._settings.data_dir is None:
            return
        folder = pathlib.Path(self._settings.data_dir) / REPLICA_DIR
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.replica = paddle_coord.Replica.open(
                folder, self._settings.peer, self._clock
            )
        except (OSError, paddle_coord.StoreError) as exc:
            paddle_kernel.emit(_events.REPLICA_UNAVAILABLE, error=str(exc))
        self._server = paddle_kernel.TcpServer(
            self._settings.peer, self._handle, traffic=self.traffic
        )
        self._server.start()

    def stop(self):
        """Stop listening and close the replica."""
        if self._server is not None:
            self._server.stop()
        if self.replica is not None:
            self.replica.stop()

    def dump(self):
        """Return plain data for the state dump."""
        return self.replica.dump() if self.replica else None

    def daemons(self):
        """Return what the replica knows of other daemons, by name."""
        return self.soft_state.dump() if self._server is not None else {}

    def _handle(self, message):
        if isinstance(message, paddle_coord.DemandReport):
            return self.soft_state.report(message)
        if self.replica is None:
            return None
        return self.replica.handle(message)


class LocalRegister(paddle_coord.MemoryRegister):
    """Register of a daemon without replicas; lost when it ends."""

    def keys(self, prefix):
        """Return ``Success(keys)`` that start with ``prefix``."""
        found = sorted(key for key in self.values if key.startswith(prefix))
        return returns.result.Success(tuple(found))

    def delete(self, key, function=lambda value: None):
        """Remove ``key`` unless ``function`` rejects its value."""
        return self.change(key, function).map(
            lambda change: change.value is None
        )


def open_register(settings, clock, transport):
    """Return the register that the settings ask for."""
    if not settings.replicas:
        return LocalRegister()
    return paddle_coord.Proposer(
        transport, settings.replicas, clock, settings.name
    )
