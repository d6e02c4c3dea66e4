"""The command ``rosemarypaddlectl`` for operators.

Exit codes: 0 success, 1 no answer or outcome unknown (send again with the same
``--change_id``), 2 wrong usage or settings, 3 rejected, 4 another change was
accepted first, 5 the token was refused.
"""

import sys

from absl import app
from absl import flags

import paddle_kernel as kernel
from paddle_kernel import settings

from paddle_ctl import _client
from paddle_ctl import _output
from paddle_ctl import _settings
from paddle_ctl import commands

EXIT_OK = 0
EXIT_UNKNOWN = 1
EXIT_USAGE = 2
EXIT_REJECTED = 3
EXIT_CONFLICT = 4
EXIT_UNAUTHORIZED = 5

FLAGS = flags.FLAGS
flags.DEFINE_string('ctl_settings', 'ctl.json', 'Settings file (JSON).')
flags.DEFINE_boolean('json', False, 'Print JSON instead of a table.')
flags.DEFINE_boolean(
    'dry_run', False, 'Show the difference without making the change.'
)
flags.DEFINE_string(
    'change_id', None, 'Id of the change; repeat it to send the change again.'
)
flags.DEFINE_integer(
    'expected_version', None, 'Configuration version the change is based on.'
)
flags.DEFINE_list(
    'address', None, 'Operator addresses to use instead of the settings.'
)

# Exceptions and their exit codes; subclasses come before their base classes.
EXIT_CODES = (
    (_client.UnauthorizedError, EXIT_UNAUTHORIZED),
    (_client.UnreachableError, EXIT_UNKNOWN),
    (commands.ConflictError, EXIT_CONFLICT),
    (commands.UnknownOutcomeError, EXIT_UNKNOWN),
    (commands.RejectedError, EXIT_REJECTED),
    (commands.UsageError, EXIT_USAGE),
    (kernel.FindingsError, EXIT_USAGE),
    (kernel.UnknownPluginError, EXIT_USAGE),
)


def find_command(words):
    """Return the command that ``words`` begin with and the remaining words.

    :raises UsageError: if ``words`` do not begin with a command.
    """
    command_names = commands.commands.names()
    for count in (2, 1):
        name = ' '.join(words[:count])
        if len(words) >= count and name in command_names:
            return commands.commands.create(name), words[count:]
    listing = '\n  '.join(command_names)
    raise commands.UsageError(
        f'unknown command {" ".join(words)!r}; commands:\n  {listing}'
    )


def split_words(words):
    """Return ``(names, options)``; a word ``key=value`` is an option."""
    names = [word for word in words if '=' not in word]
    pairs = [word.split('=', 1) for word in words if '=' in word]
    return names, {name: commands.parse_value(value) for name, value in pairs}


def execute(words):
    """Run the command given by ``words`` and return its result."""
    command, rest = find_command(words)
    names, options = split_words(rest)
    return command.run(_build_context(), names, options)


def _build_context():
    cfg = settings.load_file(_settings.CtlSettings, FLAGS.ctl_settings)
    addresses = tuple(FLAGS.address or cfg.addresses)
    client = _client.OperatorClient(
        addresses,
        settings.read_secret(cfg.token_file),
        timeout_ms=cfg.timeout_ms,
    )
    return commands.Context(
        client=client,
        change_id=FLAGS.change_id,
        expected_version=FLAGS.expected_version,
        dry_run=FLAGS.dry_run,
    )


def main(argv):
    """Run one command and return the exit code."""
    render = _output.as_json if FLAGS.json else _output.as_table
    try:
        print(render(execute(argv[1:])))
    except tuple(cls for cls, _ in EXIT_CODES) as exc:
        print(_describe_error(exc, render), file=sys.stderr)
        return next(code for cls, code in EXIT_CODES if isinstance(exc, cls))
    return EXIT_OK


def _describe_error(exc, render):
    """Return the text for an error, for findings a table of them."""
    body = getattr(exc, 'body', None)
    if body is None:
        return str(exc)
    answer = body.get('answer') if isinstance(body, dict) else None
    findings = answer.get('findings') if isinstance(answer, dict) else None
    if findings and not FLAGS.json:
        return render(findings)
    return render(body)


def run():
    """Entry point of the installed command."""
    app.run(main)


if __name__ == '__main__':
    run()
