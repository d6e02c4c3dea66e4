"""Access to the configuration for the request path.

:class:`ConfigView` is one immutable version with fast look-ups;
:class:`ConfigSource` reads new versions from the configuration log. A daemon
without replicas keeps the log in its own memory.
"""

import json
import pathlib

import returns.result

import paddle_coord
import paddle_kernel
from paddle_router import _config_items
from paddle_router import _config_model
from paddle_router import _errors

CHAT_PATH = '/v1/chat/completions'
VERSION_FILE = 'served-version'


class ConfigView:
    """One version of the configuration."""

    def __init__(self, version, state):
        self.version = version
        self.state = state
        self._classes = {
            name: state.effective_class(name) for name in state.classes
        }
        # Sorted so that the longest matching prefix is found first.
        self._routes = sorted(
            state.routes.values(), key=lambda route: -len(route.path_prefix)
        )

    def key(self, digest):
        """Return the API key with ``digest`` or ``None``."""
        return self.state.keys.get(digest)

    def request_class(self, name):
        """Return the effective class called ``name`` or ``None``."""
        return self._classes.get(name)

    @property
    def classes(self):
        """All effective classes by name."""
        return self._classes

    def route(self, method, path):
        """Return the matching route or ``None``."""
        for route in self._routes:
            if route.method == method and _is_under_prefix(
                path, route.path_prefix
            ):
                return route
        return None

    def has_path(self, path):
        """Return whether ``path`` has a route for any method."""
        return any(
            _is_under_prefix(path, item.path_prefix) for item in self._routes
        )


def _is_under_prefix(path, prefix):
    return path == prefix or path.startswith(prefix.rstrip('/') + '/')


class ConfigSource:
    """Reads the configuration log and notifies listeners of changes."""

    def __init__(self, log):
        self._log = log
        self._listeners = []
        self.view = ConfigView(log.version, log.state)

    @classmethod
    def from_register(cls, register, clock, data_dir=None):
        """Return a source that reads the log in a replicated ``register``."""
        path = pathlib.Path(data_dir) / VERSION_FILE if data_dir else None
        log = paddle_coord.ConfigLog(
            register,
            clock,
            fold=_config_model.ConfigFold(),
            version_path=path,
            keys=register.keys,
            delete=register.delete,
        )
        return cls(log)

    def on_change(self, function):
        """Call ``function(view)`` now and after each change."""
        self._listeners.append(function)
        function(self.view)

    def poll(self):
        """Read the log; return whether the version is confirmed."""
        result = self._log.refresh()
        self._update_view()
        return isinstance(result, returns.result.Success)

    def age_ms(self):
        """Return the time since the version was last confirmed."""
        return self._log.age_ms()

    def submit(self, change):
        """Submit an operator's change to the log and return its outcome.

        The outcome is that of :meth:`paddle_coord.ConfigLog.submit`.
        """
        result = self._log.submit(change)
        self._update_view()
        return result

    def change(self, op, **args):
        """Submit one operation on the current version.

        :raises ValueError: if it is not accepted.
        """
        version = self._log.version
        change = paddle_coord.ConfigChange(
            f'local-{version}', version, {'op': op, 'args': args}
        )
        outcome = self.submit(change).unwrap()
        if not outcome.accepted:
            raise ValueError(f'{op}: {outcome.reason} {outcome.findings}')

    def describe(self):
        """Return the version and the configuration as JSON data."""
        return _describe(self.view.version, self.view.state)

    def preview(self, change):
        """Return the result of :meth:`describe` as if ``change`` were made.

        :raises Refusal: if the change would not be accepted.
        """
        if change.expected_version != self._log.version:
            raise _errors.Refusal(
                409, 'conflict', f'the current version is {self._log.version}'
            )
        result = _config_model.ConfigFold().apply(
            self._log.state, change.operation
        )
        if not isinstance(result, returns.result.Success):
            findings = '; '.join(str(item) for item in result.failure())
            raise _errors.Refusal(422, 'invalid', findings)
        return _describe(self._log.version + 1, result.unwrap())

    def collect(self):
        """Delete the log slots that a snapshot replaces."""
        return self._log.collect()

    def dump(self):
        """Return plain data for the state dump."""
        return self._log.dump()

    def _update_view(self):
        if self._log.version == self.view.version:
            return
        self.view = ConfigView(self._log.version, self._log.state)
        for function in self._listeners:
            function(self.view)


def _describe(version, state):
    return {'version': version, 'config': _config_items.to_json(state)}


def apply_file(source, file_path):
    """Apply the operations of a JSON list in the file at ``file_path``.

    :raises FindingsError: if the file is unreadable or an operation is not
        accepted.
    """
    try:
        for operation in json.loads(pathlib.Path(file_path).read_text()):
            source.change(operation['op'], **operation['args'])
    except (OSError, ValueError, KeyError, TypeError) as exc:
        finding = paddle_kernel.Finding(
            '$.local_config', file_path, f'a list of operations ({exc})'
        )
        raise paddle_kernel.FindingsError([finding]) from exc
