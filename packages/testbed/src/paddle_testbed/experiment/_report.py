"""Parser of the report that the bench prints for one day."""

import json
import re
import sys

import attrs

_WORTH_LINE = re.compile(r'^worth (\S+) = ')
_PRICE_LINE = re.compile(r'^ +-(-?\d+\.\d+) +(-?\S+) (.+)$')
_LOG_LINE = re.compile(r'^ *(-?\d+\.\d+) (\S+) (\{.*\})$')
CLASS_TABLE_START = 'class '
TIME_TABLE_START = 'from second '
# Number of the log event of controllers: the list of servers has changed.
LIST_CHANGED_EVENT = 3420
# Prices below this ratio of the amount owed are left out of tables.
MIN_PRICE_RATIO = 0.002


class ReportError(ValueError):
    """The output contains no report of a day."""


@attrs.frozen(kw_only=True)
class Row:
    """Numbers of requests of one class or of one time span.

    ``name`` is the class, or the second in which the time span begins.
    """

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float


@attrs.frozen(kw_only=True)
class Report:
    """Result of one day.

    ``worth`` and ``prices`` are ratios of the amount owed. ``servers`` are
    pairs of a second and the number of listed servers from the logs of
    controllers; it is empty without logs.
    """

    worth: float
    prices: dict
    classes: tuple
    times: tuple
    servers: tuple


def parse(text):
    """Parse the :class:`Report` in the output of the bench.

    :raises ReportError: unless the output has exactly one line of worth.
    """
    lines = text.splitlines()
    found = [match for line in lines if (match := _WORTH_LINE.match(line))]
    if len(found) != 1:
        raise ReportError(
            f'{len(found)} lines "worth ... =" in the output, expected 1; '
            f'the output ends with {lines[-3:]}'
        )
    return Report(
        worth=float(found[0].group(1)),
        prices=_parse_prices(lines),
        classes=_parse_table(lines, CLASS_TABLE_START),
        times=_parse_table(lines, TIME_TABLE_START),
        servers=_parse_servers(lines),
    )


def _parse_prices(lines):
    matches = [match for line in lines if (match := _PRICE_LINE.match(line))]
    prices = {match.group(3): float(match.group(1)) for match in matches}
    return {
        name: price
        for name, price in prices.items()
        if price >= MIN_PRICE_RATIO
    }


def _parse_table(lines, first_line_start):
    rows = []
    start_index = next(
        (
            index
            for index, line in enumerate(lines)
            if line.startswith(first_line_start)
        ),
        None,
    )
    if start_index is None:
        return ()
    for line in lines[start_index + 1 :]:
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


def _parse_servers(lines):
    """Return pairs ``(second, servers listed)`` from controller log lines."""
    found = []
    for line in lines:
        match = _LOG_LINE.match(line)
        if match is None:
            continue
        try:
            record = json.loads(match.group(3))
        except ValueError as exc:
            # A killed process leaves its last line incomplete.
            print(f'skipped an incomplete log line: {exc}', file=sys.stderr)
            continue
        if record.get('event') == LIST_CHANGED_EVENT:
            found.append((float(match.group(1)), int(record['servers'])))
    return tuple(sorted(found))
