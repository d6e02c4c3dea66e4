"""Parts that the request path shares."""

import attrs


@attrs.define(kw_only=True)
class Core:
    """The parts of one daemon used by every request."""

    settings: object
    clock: object
    config: object
    instances: object
    pool: object
    dispatcher: object
    account: object
    active: set = attrs.field(factory=set)
    draining: bool = False

    @property
    def bounds(self):
        """The bounds of the settings."""
        return self.settings.bounds

    def not_ready_reason(self):
        """Return why no requests are taken, or ``None``."""
        if self.draining:
            return 'draining'
        if self.instances.received_ms is None:
            return 'no instance list yet'
        return None
