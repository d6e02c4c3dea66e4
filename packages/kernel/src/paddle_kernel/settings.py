"""Validated settings: JSON documents described by attrs classes.

A settings class is an attrs class whose fields are made with :func:`field`.
:func:`load` checks a whole document and reports all findings at once. A class
may have a method ``check(path, findings)`` for rules that involve several
fields.
"""

import functools
import json
import pathlib
import stat

import attrs

from paddle_kernel import _findings

RULE_KEY = 'paddle_check'
MISSING = '(missing)'
MAX_PORT = 65_535


@attrs.frozen
class Check:
    """Rule for one value.

    ``accepts(value)`` tests the value, ``allowed`` describes what is allowed.
    """

    accepts: object
    allowed: str


@attrs.frozen
class Nested:
    """Rule for an object that is itself a settings class."""

    cls: type


@attrs.frozen
class ListOf:
    """Rule for a list; ``item`` is the rule of each element."""

    item: object


@attrs.frozen
class Optional:
    """Rule for a value that may be ``null``."""

    rule: object


def integer(minimum, maximum, unit=''):
    """Return the rule for an integer within inclusive bounds."""

    def accepts(value):
        is_int = isinstance(value, int) and not isinstance(value, bool)
        return is_int and minimum <= value <= maximum

    return Check(accepts, f'an integer {minimum}..{maximum} {unit}'.strip())


def number(minimum, maximum):
    """Return the rule for a number within inclusive bounds."""

    def accepts(value):
        is_number = isinstance(value, int | float)
        is_number = is_number and not isinstance(value, bool)
        return is_number and minimum <= value <= maximum

    return Check(accepts, f'a number {minimum}..{maximum}')


def choice(*names):
    """Return the rule for one of the given strings."""
    return Check(lambda value: value in names, 'one of ' + ', '.join(names))


def _is_address(value):
    if not isinstance(value, str):
        return False
    host, colon, port = value.rpartition(':')
    return bool(
        host
        and colon
        and port.isascii()
        and port.isdigit()
        and len(port) <= len(str(MAX_PORT))
        and int(port) <= MAX_PORT
    )


STRING = Check(
    lambda value: isinstance(value, str) and bool(value),
    'a non-empty string',
)
BOOLEAN = Check(lambda value: isinstance(value, bool), 'true or false')
ADDRESS = Check(_is_address, 'a string "IP:port"')


def field(rule, **options):
    """Return an attrs field whose value :func:`load` checks by ``rule``."""
    return attrs.field(metadata={RULE_KEY: rule}, **options)


def load(cls, document, path='$'):
    """Build ``cls`` from a parsed JSON ``document``.

    :raises FindingsError: with every finding in the document.
    """
    findings = _findings.Findings()
    value = _build(Nested(cls), document, path, findings)
    findings.raise_if_any()
    return value


def load_file(cls, file_path):
    """Build ``cls`` from the JSON file at ``file_path``.

    :raises FindingsError: if the file is unreadable, is not JSON or has
        findings.
    """
    try:
        document = json.loads(pathlib.Path(file_path).read_text())
    except (OSError, RecursionError, ValueError) as exc:
        finding = _findings.Finding('$', str(exc), 'a readable JSON file')
        raise _findings.FindingsError([finding]) from exc
    return load(cls, document)


def read_secret(file_path):
    """Return the stripped text of a file that only its owner may read.

    :raises FindingsError: if others may read the file.
    """
    path = pathlib.Path(file_path)
    mode = stat.S_IMODE(path.stat().st_mode)
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        finding = _findings.Finding(
            str(path), oct(mode), 'owner-only mode; run chmod 600'
        )
        raise _findings.FindingsError([finding])
    return path.read_text().strip()


@functools.singledispatch
def _build(rule, value, path, findings):
    raise TypeError(f'no settings rule for {rule!r} at {path}')


@_build.register
def _build_checked(rule: Check, value, path, findings):
    if not rule.accepts(value):
        findings.add(path, value, rule.allowed)
    return value


@_build.register
def _build_optional(rule: Optional, value, path, findings):
    if value is None:
        return None
    return _build(rule.rule, value, path, findings)


@_build.register
def _build_list(rule: ListOf, value, path, findings):
    if not isinstance(value, list):
        findings.add(path, value, 'a list')
        return ()
    return tuple(
        _build(rule.item, item, f'{path}[{index}]', findings)
        for index, item in enumerate(value)
    )


@_build.register
def _build_nested(rule: Nested, value, path, findings):
    if not isinstance(value, dict):
        findings.add(path, value, 'an object')
        return None
    count_before = len(findings)
    options = _build_fields(rule.cls, value, path, findings)
    if len(findings) > count_before:
        return None
    built = rule.cls(**options)
    if hasattr(built, 'check'):
        built.check(path, findings)
    return built


def _build_fields(cls, value, path, findings):
    fields = {item.name: item for item in attrs.fields(cls)}
    for name in sorted(set(value) - set(fields)):
        known = ', '.join(sorted(fields))
        findings.add(f'{path}.{name}', value[name], f'a known key: {known}')
    options = {}
    for name, item in fields.items():
        if name in value:
            options[name] = _build(
                item.metadata[RULE_KEY],
                value[name],
                f'{path}.{name}',
                findings,
            )
        elif item.default is attrs.NOTHING:
            findings.add(f'{path}.{name}', MISSING, 'a value is required')
    return options
