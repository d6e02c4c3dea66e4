"""File that stores one version number across restarts.

The file holds ``<version> <CRC-32 in hex>`` and is replaced atomically after
an fsync. Writing happens in a thread of gevent's thread pool.
"""

import os
import pathlib
import zlib

import gevent

from paddle_coord import _events
import paddle_kernel as kernel

# Bounds the delay that a slow disk adds to a configuration change; it must be
# well below the freshness bound of 3,000 ms.
WRITE_TIMEOUT_MS = 1_000


class VersionFile:
    """The number in the file at ``path``.

    A full, slow or failed disk does not stop the process: the number may then
    not be stored, which is logged.
    """

    def __init__(self, path):
        self._path = pathlib.Path(path)
        self._pending = None

    def read(self):
        """Return the stored number, 0 if the file is missing or corrupt."""
        try:
            text = self._path.read_text()
        except FileNotFoundError:
            return 0
        except (OSError, ValueError) as exc:
            return self._log_unreadable(str(exc))
        if not text.endswith('\n') or text != _encode_line(text.split(' ')[0]):
            return self._log_unreadable('wrong checksum')
        return int(text.split(' ')[0])

    def write(self, version):
        """Store ``version``; return once it is synced or has failed."""
        if self._pending is not None and not self._pending.ready():
            self._log_not_written(
                version, 'the previous write is not finished'
            )
            return
        pool = gevent.get_hub().threadpool
        line = _encode_line(str(version))
        self._pending = pool.spawn(self._try_to_replace, line)
        try:
            exc = self._pending.get(timeout=WRITE_TIMEOUT_MS / kernel.MS_PER_S)
        except gevent.Timeout:
            exc = f'no answer in {WRITE_TIMEOUT_MS} ms'
        if exc is not None:
            self._log_not_written(version, str(exc))

    def _try_to_replace(self, text):
        """Return the error of a failed write.

        If it were raised, the pool would have to print its traceback before
        the write counts as finished.
        """
        try:
            self._replace(text)
        except OSError as exc:
            return exc
        return None

    def _replace(self, text):
        temporary = self._path.with_name(self._path.name + '.new')
        with open(temporary, 'w') as out:
            out.write(text)
            out.flush()
            os.fsync(out.fileno())
        os.replace(temporary, self._path)
        directory = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(directory)
        finally:
            os.close(directory)

    def _log_unreadable(self, detail):
        kernel.emit(
            _events.VERSION_FILE_UNREADABLE, file=self._path, detail=detail
        )
        return 0

    def _log_not_written(self, version, detail):
        kernel.emit(
            _events.VERSION_NOT_KEPT,
            file=self._path,
            version=version,
            detail=detail,
        )


def _encode_line(number):
    return f'{number} {zlib.crc32(number.encode()):08x}\n'
