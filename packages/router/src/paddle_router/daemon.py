"""The command ``rosemarypaddled``, which runs a daemon."""

import signal
import sys

from absl import app
from absl import flags
import gevent.event
import gevent.signal

import paddle_kernel
from paddle_kernel import settings
from paddle_router import _config_source
from paddle_router import _daemon
from paddle_router import _settings

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_FINDINGS = 2

_SETTINGS = flags.DEFINE_string('settings', None, 'Settings file (JSON).')
_CHECK = flags.DEFINE_bool('check', False, 'Only check the settings.')


def load_settings(file_path):
    """Return the settings in a file, after checking them.

    The operator token file must also be readable by its owner only.

    :raises FindingsError: with all findings.
    """
    loaded = settings.load_file(_settings.Settings, file_path)
    try:
        settings.read_secret(loaded.operator_token_file)
    except OSError as exc:
        finding = paddle_kernel.Finding(
            '$.operator_token_file',
            loaded.operator_token_file,
            f'a readable owner-only file ({exc.strerror})',
        )
        raise paddle_kernel.FindingsError([finding]) from exc
    return loaded


def main(argv):
    """Run until SIGTERM or SIGINT; return the exit code."""
    if _SETTINGS.value is None:
        print('the flag --settings=FILE is required', file=sys.stderr)
        return EXIT_FINDINGS
    try:
        loaded = load_settings(_SETTINGS.value)
    except paddle_kernel.FindingsError as exc:
        return _print_findings(exc)
    if _CHECK.value:
        print('settings are valid')
        return EXIT_OK
    paddle_kernel.configure_log(style=loaded.log.style, level=loaded.log.level)
    paddle_kernel.check_loop()
    try:
        daemon = build(loaded)
    except paddle_kernel.FindingsError as exc:
        return _print_findings(exc)
    return serve(daemon)


def build(loaded):
    """Return a daemon with the settings ``loaded``.

    :raises FindingsError: if the local configuration is not accepted.
    """
    daemon = _daemon.Daemon(loaded)
    if loaded.local_config is not None:
        daemon.core.config.poll()
        _config_source.apply_file(daemon.core.config, loaded.local_config)
    if loaded.dump_file is not None:
        daemon.dump.write_on_signal(loaded.dump_file)
    return daemon


def _print_findings(exc):
    for finding in exc.findings:
        print(finding, file=sys.stderr)
    return EXIT_FINDINGS


def serve(daemon):
    """Run ``daemon`` until SIGTERM or SIGINT; return the exit code."""
    stop_requested = gevent.event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal.signal(signal_number, lambda *_: stop_requested.set())
    daemon.start()
    stop_requested.wait()
    return EXIT_OK if daemon.stop() else EXIT_FAILED


def run():
    """Entry point of the installed command."""
    app.run(main)


if __name__ == '__main__':
    run()
