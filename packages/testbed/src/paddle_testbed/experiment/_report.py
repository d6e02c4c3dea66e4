"""The report that the bench prints for one day, as data."""

import json
import re
import sys

import attrs

_WORTH = re.compile(r'^worth (\S+) = ')
_PRICE = re.compile(r'^ +-(-?\d+\.\d+) +(-?\S+) (.+)$')
_LOG = re.compile(r'^ *(-?\d+\.\d+) (\S+) (\{.*\})$')
CLASS_HEAD = 'class '
TIME_HEAD = 'from second '
# Event of controllers: the list of servers has changed.
LIST_READ = 3420
# Prices below this part of what is owed are left out of tables.
LEAST_PRICE = 0.002


class ReportError(ValueError):
    """The text is no report of a played day."""


@attrs.frozen(kw_only=True)
class Row:
    """Requests of one class, or of the seconds from ``name`` on."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float


@attrs.frozen(kw_only=True)
class Report:
    """What a day earned.

    ``worth`` and ``prices`` are parts of what was owed; ``servers`` are pairs
    of second and number from the logs of controllers, empty without logs.
    """

    worth: float
    prices: dict
    classes: tuple
    times: tuple
    servers: tuple


def parse(text):
    """Return the :class:`Report` in the output of a play.

    :raises ReportError: if there is none.
    """
    lines = text.splitlines()
    found = [match for line in lines if (match := _WORTH.match(line))]
    if len(found) != 1:
        raise ReportError(
            f'{len(found)} lines "worth ... =" in the output, wanted 1; '
            f'the output ends with {lines[-3:]}'
        )
    return Report(
        worth=float(found[0].group(1)),
        prices=_prices(lines),
        classes=_table(lines, CLASS_HEAD),
        times=_table(lines, TIME_HEAD),
        servers=_servers(lines),
    )


def _prices(lines):
    matches = [match for line in lines if (match := _PRICE.match(line))]
    prices = {match.group(3): float(match.group(1)) for match in matches}
    return {
        name: price for name, price in prices.items() if price >= LEAST_PRICE
    }


def _table(lines, head):
    rows = []
    begin = next(
        (index for index, line in enumerate(lines) if line.startswith(head)),
        None,
    )
    if begin is None:
        return ()
    for line in lines[begin + 1 :]:
        if not line.strip():
            break
        name, *numbers = line.split()
        asked, in_time, late, refused, failed, _not_owed = map(
            int, numbers[:6]
        )
        rows.append(
            Row(
                name=name,
                asked=asked,
                in_time=in_time,
                late=late,
                refused=refused,
                failed=failed,
                worth=float(numbers[6]),
            )
        )
    return tuple(rows)


def _servers(lines):
    """Return ``(second, servers listed)`` from lines of controllers."""
    found = []
    for line in lines:
        match = _LOG.match(line)
        if match is None:
            continue
        try:
            record = json.loads(match.group(3))
        except ValueError as exc:
            # A line that a killed process did not finish.
            print(f'a log line cannot be read: {exc}', file=sys.stderr)
            continue
        if record.get('event') == LIST_READ:
            found.append((float(match.group(1)), int(record['servers'])))
    return tuple(sorted(found))
