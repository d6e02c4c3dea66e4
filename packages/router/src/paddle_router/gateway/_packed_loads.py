"""Compact binary encoding of the loads of many servers.

Loads are sent several times a second. A message with one struct for each of 84
servers takes 1.7 ms to encode and 2.2 ms to decode; columns of integers take a
quarter of that time and a fifth of the bytes.
"""

import array
import struct
import sys
import zlib

from paddle_router.gateway import _messages

_IDS_SIZE = struct.Struct('!I')
_SEPARATOR = '\n'
_MAX_COUNT = 2**32 - 1
# Readers expect exactly these columns, so that instances of different versions
# understand each other. Further columns are encoded separately.
_COLUMNS = (
    'running',
    'prefill',
    'failures',
    'answers',
    'pace_ms',
    'read_rate',
)
_EXTRA_COLUMNS = ('told_count', 'told_percent', 'rejections', 'in_time')
# Limit on the unpacked size, enough for 10,000 servers.
MAX_UNPACKED_BYTES = 1_048_576


def pack_loads(flights):
    """Encode a sequence of :class:`ServerFlights`.

    The columns that :func:`pack_extra_loads` encodes are left out.
    """
    return _pack(tuple(flights), _COLUMNS)


def pack_extra_loads(flights):
    """Encode the columns that :func:`pack_loads` leaves out.

    Servers without a value in any of them are left out. A version that
    encodes more columns appends them, and an older one ignores those.
    """
    flights = tuple(
        item
        for item in flights
        if any(getattr(item, name) for name in _EXTRA_COLUMNS)
    )
    return _pack(flights, _EXTRA_COLUMNS) if flights else b''


def unpack_loads(data, extra=b''):
    """Decode ``data`` into a tuple of :class:`ServerFlights`.

    ``extra`` is the result of :func:`pack_extra_loads`.

    :raises ValueError: if ``data`` or ``extra`` is malformed.
    """
    extra_rows = {
        server_id: dict(zip(_EXTRA_COLUMNS, values, strict=False))
        for server_id, *values in _unpack(extra)
    }
    flights = []
    for server_id, *values in _unpack(data):
        if len(values) != len(_COLUMNS):
            raise ValueError(
                f'{len(values)} instead of {len(_COLUMNS)} columns'
            )
        flights.append(
            _messages.ServerFlights(
                id=server_id,
                **dict(zip(_COLUMNS, values, strict=True)),
                **extra_rows.get(server_id, {}),
            )
        )
    return tuple(flights)


def _pack(flights, columns):
    ids = _SEPARATOR.join(item.id for item in flights).encode()
    counts = array.array('I')
    for name in columns:
        counts.extend(
            min(int(getattr(item, name)), _MAX_COUNT) for item in flights
        )
    if sys.byteorder == 'big':
        counts.byteswap()
    data = _IDS_SIZE.pack(len(ids)) + ids + counts.tobytes()
    return zlib.compress(data, 1)


def _unpack(data):
    """Return the rows ``(id, *values)`` encoded in ``data``."""
    if not data:
        return ()
    unpacker = zlib.decompressobj()
    try:
        plain = unpacker.decompress(data, MAX_UNPACKED_BYTES)
        (size,) = _IDS_SIZE.unpack_from(plain)
        end = _IDS_SIZE.size + size
        text = plain[_IDS_SIZE.size : end].decode()
        counts = array.array('I', plain[end:])
    except (zlib.error, struct.error) as exc:
        raise ValueError(f'unreadable loads: {exc}') from exc
    if sys.byteorder == 'big':
        counts.byteswap()
    ids = text.split(_SEPARATOR) if text else []
    if not unpacker.eof:
        raise ValueError('unreadable loads: truncated data')
    rows = len(ids)
    if not rows:
        return ()
    if len(counts) % rows:
        raise ValueError(f'{len(counts)} counts for {rows} servers')
    columns = [
        counts[start : start + rows] for start in range(0, len(counts), rows)
    ]
    return tuple(zip(ids, *columns, strict=True))
