"""The configuration as the request path sees it, and a local source.

:class:`ConfigView` is one immutable version. :class:`ConfigSource` is the
interface behind which the configuration log and the local file stand.
"""

import json
import pathlib
import typing

import attrs

from paddle_kernel import settings

CHAT_PATH = '/v1/chat/completions'
DEFAULT_CLASS = 'default'


@attrs.frozen(kw_only=True)
class Key:
    """A caller's key; ``digest`` is its SHA-256 in hexadecimal."""

    digest: str = settings.field(settings.STRING)
    customer: str = settings.field(settings.STRING)
    expires_wall_ms: int | None = settings.field(
        settings.Optional(settings.integer(0, 2**62, 'ms')), default=None
    )
    revoked: bool = settings.field(settings.BOOLEAN, default=False)


@attrs.frozen(kw_only=True)
class RequestClass:
    """A class of requests with its targets; tier 1 is the highest."""

    name: str = settings.field(settings.STRING)
    tier: int = settings.field(settings.integer(1, 100), default=3)
    weight: float = settings.field(settings.number(0.001, 1000), default=1.0)
    first_token_ms: int = settings.field(
        settings.integer(1, 3_600_000, 'ms'), default=1_400
    )
    inter_token_ms: int = settings.field(
        settings.integer(1, 3_600_000, 'ms'), default=53
    )


@attrs.frozen(kw_only=True)
class Route:
    """A path prefix served by the plain service ``service``.

    ``idempotent`` calls may be repeated; ``open`` ones need no key.
    """

    path: str = settings.field(settings.STRING)
    service: str = settings.field(settings.STRING)
    methods: tuple = settings.field(
        settings.ListOf(settings.STRING), default=('GET',)
    )
    idempotent: bool = settings.field(settings.BOOLEAN, default=True)
    open: bool = settings.field(settings.BOOLEAN, default=False)
    default_class: str = settings.field(settings.STRING, default=DEFAULT_CLASS)


@attrs.frozen(kw_only=True)
class Document:
    """Content of a local configuration file."""

    keys: tuple = settings.field(
        settings.ListOf(settings.Nested(Key)), default=()
    )
    classes: tuple = settings.field(
        settings.ListOf(settings.Nested(RequestClass)),
        default=(RequestClass(name=DEFAULT_CLASS),),
    )
    routes: tuple = settings.field(
        settings.ListOf(settings.Nested(Route)), default=()
    )
    chat_default_class: str = settings.field(
        settings.STRING, default=DEFAULT_CLASS
    )


class ConfigView:
    """One version of the configuration with fast look-ups."""

    def __init__(self, *, version, keys, classes, routes, chat_default_class):
        self.version = version
        self.chat_default_class = chat_default_class
        self._keys = {key.digest: key for key in keys}
        self._classes = {item.name: item for item in classes}
        self._routes = sorted(routes, key=lambda route: -len(route.path))

    def key(self, digest):
        """Return the :class:`Key` of ``digest`` or ``None``."""
        return self._keys.get(digest)

    def request_class(self, name):
        """Return the :class:`RequestClass` called ``name`` or ``None``."""
        return self._classes.get(name)

    @property
    def classes(self):
        """All classes."""
        return tuple(self._classes.values())

    def route(self, method, path):
        """Return the longest matching :class:`Route` or ``None``."""
        for route in self._routes:
            inside = path == route.path or path.startswith(
                route.path.rstrip('/') + '/'
            )
            if inside and method in route.methods:
                return route
        return None


class ConfigSource(typing.Protocol):
    """Supplies the configuration in effect."""

    @property
    def view(self) -> ConfigView:
        """The latest version known."""

    def age_ms(self) -> int:
        """Return the time since ``view`` was last confirmed."""

    def submit(self, change) -> dict:
        """Propose an operator's change; return its outcome."""


class LocalConfig:
    """Configuration from a file, for a daemon without replicas."""

    def __init__(self, document):
        self.replace(document)

    @classmethod
    def from_file(cls, file_path):
        """Read ``file_path``; ``None`` means an empty configuration.

        :raises FindingsError: if the file has findings.
        """
        if file_path is None:
            return cls(Document())
        return cls(settings.load_file(Document, file_path))

    @classmethod
    def from_document(cls, document):
        """Build from parsed JSON."""
        return cls(cls.document_of(document))

    @staticmethod
    def document_of(document):
        """Return the checked :class:`Document` of parsed JSON."""
        return settings.load(Document, document)

    def replace(self, document):
        """Put another :class:`Document` into effect."""
        self.view = ConfigView(
            version=0, **attrs.asdict(document, recurse=False)
        )

    def age_ms(self):
        return 0


def write_document(file_path, document):
    """Write a local configuration as JSON, for tests and the demo."""
    pathlib.Path(file_path).write_text(json.dumps(document))
