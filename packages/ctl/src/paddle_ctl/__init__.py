"""Command line tool for operators of rosemarypaddle."""

from paddle_ctl._client import Answer
from paddle_ctl._client import OperatorClient
from paddle_ctl._client import OperatorError
from paddle_ctl._client import UnauthorizedError
from paddle_ctl._client import UnreachableError
from paddle_ctl._settings import CtlSettings

__all__ = [
    'Answer',
    'CtlSettings',
    'OperatorClient',
    'OperatorError',
    'UnauthorizedError',
    'UnreachableError',
]
