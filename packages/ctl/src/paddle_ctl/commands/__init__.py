"""Commands for operators; each registers itself when imported."""

from paddle_ctl.commands._changes import difference
from paddle_ctl.commands._changes import parse_value
from paddle_ctl.commands import _config
from paddle_ctl.commands import _evacuation
from paddle_ctl.commands import _explain
from paddle_ctl.commands._hooks import commands
from paddle_ctl.commands._hooks import ConflictError
from paddle_ctl.commands._hooks import Context
from paddle_ctl.commands._hooks import RejectedError
from paddle_ctl.commands._hooks import UnknownOutcomeError
from paddle_ctl.commands._hooks import UsageError
from paddle_ctl.commands import _system

# Importing the modules registers their commands.
PLUGINS = (_config, _evacuation, _explain, _system)

__all__ = [
    'ConflictError',
    'Context',
    'PLUGINS',
    'RejectedError',
    'UnknownOutcomeError',
    'UsageError',
    'commands',
    'difference',
    'parse_value',
]
