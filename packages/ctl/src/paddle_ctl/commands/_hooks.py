"""Interface of the commands and the context they run in."""

import typing

import attrs

import paddle_kernel as kernel

commands = kernel.Registry('command')


class UsageError(ValueError):
    """The command line is wrong; the message says how to write it."""


class RejectedError(Exception):
    """A change was refused; ``body`` is the daemon's answer."""

    def __init__(self, body):
        self.body = body
        super().__init__(str(body))


class ConflictError(RejectedError):
    """Another change was accepted first."""


class UnknownOutcomeError(RejectedError):
    """The change may have been accepted; it is safe to send it again."""


@attrs.frozen(kw_only=True)
class Context:
    """What a command works with.

    ``change_id`` and ``expected_version`` are ``None`` when the operator gave
    none; ``dry_run`` asks for the difference only.
    """

    client: object
    change_id: str | None = None
    expected_version: int | None = None
    dry_run: bool = False


class Command(typing.Protocol):
    """One command, registered under ``'<noun> <verb>'``."""

    usage: str

    def run(self, context, names, options) -> object:
        """Run with positional ``names`` and ``key=value`` ``options``."""
