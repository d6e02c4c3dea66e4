"""Compact binary encoding of the loads of many servers.

Loads are sent several times a second. A message with one struct for each of 84
servers takes 1.7 ms to encode and 2.2 ms to decode; columns of integers take a
quarter of that time and a fifth of the bytes.
"""

import array
import struct
import sys
import zlib

import attrs

from paddle_router.gateway import _messages

_IDS_SIZE = struct.Struct('!I')
_SEPARATOR = '\n'
_MAX_COUNT = 2**32 - 1
_COLUMNS = tuple(
    item.name
    for item in attrs.fields(_messages.ServerFlights)
    if item.name != 'id'
)
# Limit on the unpacked size, enough for 10,000 servers.
MAX_UNPACKED_BYTES = 1_048_576


def pack_loads(flights):
    """Encode a sequence of :class:`ServerFlights`."""
    flights = tuple(flights)
    ids = _SEPARATOR.join(item.id for item in flights).encode()
    counts = array.array('I')
    for name in _COLUMNS:
        counts.extend(
            min(int(getattr(item, name)), _MAX_COUNT) for item in flights
        )
    if sys.byteorder == 'big':
        counts.byteswap()
    data = _IDS_SIZE.pack(len(ids)) + ids + counts.tobytes()
    return zlib.compress(data, 1)


def unpack_loads(data):
    """Decode ``data`` into a tuple of :class:`ServerFlights`.

    :raises ValueError: if ``data`` is malformed.
    """
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
    if len(counts) != rows * len(_COLUMNS):
        raise ValueError(f'{len(counts)} counts for {rows} servers')
    if not rows:
        return ()
    columns = [
        counts[start : start + rows] for start in range(0, len(counts), rows)
    ]
    return tuple(
        _messages.ServerFlights(
            id=server_id, **dict(zip(_COLUMNS, values, strict=True))
        )
        for server_id, *values in zip(ids, *columns, strict=True)
    )
