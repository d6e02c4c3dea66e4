"""Command that repairs a damaged store file of a replica.

``python -m paddle_coord.repair FILE`` reports the damage and what a repair
would lose; with ``--truncate`` it truncates the file at the damaged record.
The replica then has a new identity and is a member of no view: it may have
lost promises and must not vote under its old identity.
"""

import argparse
import collections
import os
import pathlib
import sys

from paddle_coord import _messages
from paddle_coord import _store

EXIT_DONE = 0
EXIT_DAMAGED = 1
EXIT_UNUSABLE = 2


def describe(data, result):
    """Return lines that report the damage and the loss by a repair."""
    kinds = collections.Counter()
    keys = set()
    intact_frames = 0
    for offset in result.later_frame_offsets:
        records = _store.decode_frame(data, offset)
        intact_frames += bool(records)
        for record in records:
            kinds[type(record).__name__] += 1
            keys.add(getattr(record, 'key', None))
    keys.discard(None)
    counts = ', '.join(f'{count} {kind}' for kind, count in kinds.items())
    return [
        f'the record at byte {result.damaged_offset} is damaged; '
        f'{result.frames} records before it are intact',
        f'a repair loses {len(data) - result.damaged_offset} bytes: '
        f'the damaged record and {intact_frames} readable ones after it '
        f'({counts or "no entries"}, {len(keys)} keys)',
        'the replica gets a new identity and is in no view; the other '
        'replicas must still hold a majority',
    ]


def truncate(path, data, offset):
    """Truncate the file at ``offset``; return the replica's new identity.

    The damaged file is kept next to it with the suffix ``.damaged``.
    """
    identity = _store.new_identity()
    record = _messages.IdentityRecord(identity)
    temporary = path.with_suffix('.new')
    with open(temporary, 'wb') as out:
        out.write(data[:offset] + _store.encode_frame([record]))
        out.flush()
        os.fsync(out.fileno())
    os.replace(path, path.with_suffix('.damaged'))
    os.replace(temporary, path)
    _store.sync_directory(path.parent)
    return identity


def main(argv=None):
    """Run the command; return its exit code."""
    parser = argparse.ArgumentParser(
        prog='python -m paddle_coord.repair', description=__doc__
    )
    parser.add_argument('file', type=pathlib.Path)
    parser.add_argument(
        '--truncate',
        action='store_true',
        help='truncate the file at the damaged record',
    )
    args = parser.parse_args(argv)
    try:
        with _store.hold_lock(args.file.parent):
            return _run(args.file, args.truncate)
    except (OSError, _store.StoreError) as exc:
        print(f'{args.file}: {exc}', file=sys.stderr)
        return EXIT_UNUSABLE


def _run(path, should_truncate):
    data = path.read_bytes()
    result = _store.scan(data, _store.State())
    if result.damaged_offset is None:
        print(f'{path}: no damage')
        return EXIT_DONE
    if not result.later_frame_offsets:
        print(
            f'{path}: the last record is incomplete; the replica drops it '
            'when it starts, no repair is needed'
        )
        return EXIT_DONE
    for line in describe(data, result):
        print(f'{path}: {line}')
    if not should_truncate:
        print(f'{path}: not changed; repeat with --truncate to repair')
        return EXIT_DAMAGED
    identity = truncate(path, data, result.damaged_offset)
    print(
        f'{path}: truncated; new identity {identity}; start the replica and '
        'add it with replica replace'
    )
    return EXIT_DONE


if __name__ == '__main__':
    sys.exit(main())
