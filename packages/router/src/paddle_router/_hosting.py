"""The replica that this daemon hosts, and access to the register."""

import pathlib

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _events

REPLICA_DIR = 'replica'
# Period of tries to open a replica that could not be opened.
OPEN_RETRY_MS = 1_000


class ReplicaHost:
    """Hosts a replica and serves other daemons on the peer address.

    ``traffic`` counts the bytes of this server.

    ``replica`` is ``None`` without a data directory, or as long as the replica
    cannot be opened; the daemon then runs without voting.
    """

    def __init__(self, settings, clock):
        self._settings = settings
        self._clock = clock
        self._server = None
        self._open_error = ''
        self.replica = None
        self.traffic = paddle_kernel.Traffic()
        self.soft_state = paddle_coord.SoftState(clock)

    def start(self):
        """Open the replica and listen; without a data directory do nothing."""
        if self._settings.data_dir is None:
            return
        self.open_replica()
        self._server = paddle_kernel.TcpServer(
            self._settings.peer, self._handle, traffic=self.traffic
        )
        self._server.start()

    def open_replica(self):
        """Open the replica unless it is open; called again after a failure."""
        if self._settings.data_dir is None or self.replica is not None:
            return
        directory = pathlib.Path(self._settings.data_dir) / REPLICA_DIR
        try:
            self.replica = paddle_kernel.run_in_thread(
                self._open_in, directory
            )
        except (OSError, paddle_coord.StoreError) as exc:
            if str(exc) != self._open_error:
                paddle_kernel.emit(_events.REPLICA_UNAVAILABLE, error=str(exc))
            self._open_error = str(exc)

    def _open_in(self, directory):
        """Open the replica; a disk may hang for seconds."""
        directory.mkdir(parents=True, exist_ok=True)
        return paddle_coord.Replica.open(
            directory, self._settings.peer, self._clock
        )

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
        """Return the state reported by other daemons, by daemon name."""
        return self.soft_state.dump() if self._server is not None else {}

    def _handle(self, message):
        if isinstance(message, paddle_coord.DemandReport):
            return self.soft_state.report(message)
        if self.replica is None:
            return None
        return self.replica.handle(message)


class LocalRegister(paddle_coord.MemoryRegister):
    """In-memory register for a daemon without replicas.

    Its content is lost when the process ends.
    """

    def keys(self, prefix):
        """Return ``Success`` of the sorted keys starting with ``prefix``."""
        matching = sorted(key for key in self.values if key.startswith(prefix))
        return returns.result.Success(tuple(matching))

    def delete(self, key, function=lambda value: None):
        """Remove ``key`` unless ``function`` rejects its value."""
        return self.change(key, function).map(
            lambda change: change.value is None
        )


def open_register(settings, clock, transport):
    """Return the register selected by the settings."""
    if not settings.replicas:
        return LocalRegister()
    return paddle_coord.Proposer(
        transport, settings.replicas, clock, settings.name
    )
