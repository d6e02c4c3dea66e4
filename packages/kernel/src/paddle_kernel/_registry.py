"""Registries of plug-ins, which register themselves when imported."""


class UnknownPluginError(LookupError):
    """No plug-in with the given name is registered."""


class Registry:
    """Named factories of one kind of plug-in, such as ``balancer``."""

    def __init__(self, kind):
        self.kind = kind
        self._factories = {}

    def register(self, name):
        """Return a class decorator that registers the class as ``name``."""

        def decorate(factory):
            if name in self._factories:
                raise ValueError(f'{self.kind} {name!r} is registered twice')
            self._factories[name] = factory
            return factory

        return decorate

    def create(self, name, **options):
        """Return a new instance of the plug-in ``name``.

        :raises UnknownPluginError: if no such plug-in is registered.
        """
        try:
            factory = self._factories[name]
        except KeyError:
            known = ', '.join(self.names())
            raise UnknownPluginError(
                f'{self.kind} {name!r} is unknown; choose one of: {known}'
            ) from None
        return factory(**options)

    def names(self):
        """Return the registered names in alphabetical order."""
        return sorted(self._factories)
