"""Interface of the commands, their context and their errors."""

import typing

import attrs

import paddle_kernel as kernel

commands = kernel.Registry('command')


class UsageError(ValueError):
    """The command line is wrong; the message shows the correct usage."""


class RejectedError(Exception):
    """A change was refused; ``body`` is the daemon's answer."""

    def __init__(self, body):
        self.body = body
        super().__init__(str(body))


class ConflictError(RejectedError):
    """Another change was accepted first."""


class UnknownOutcomeError(RejectedError):
    """The change may have been accepted; it can safely be sent again."""


@attrs.frozen(kw_only=True)
class Context:
    """Client and global flags for a command.

    ``change_id`` and ``expected_version`` are ``None`` if the operator set
    none. With ``dry_run`` a command shows the difference without making the
    change.
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
