"""Components that all requests of a daemon share."""

import attrs

from paddle_router import policy


@attrs.define(kw_only=True)
class Core:
    """The components of one daemon that requests use."""

    settings: object
    clock: object
    config: object
    instances: object
    policies: object
    dispatcher: object
    account: object
    claims: object
    admission: object = None
    shares: object = None
    retry_budget: object = attrs.field(factory=policy.RetryBudget)
    active: set = attrs.field(factory=set)
    engine_reports: dict = attrs.field(factory=dict)
    draining: bool = False

    @property
    def bounds(self):
        """The bounds of the settings."""
        return self.settings.bounds

    def not_ready_reason(self):
        """Return why the readiness check fails, ``None`` if it passes."""
        if self.draining:
            return 'draining'
        if self.instances.received_ms is None:
            return 'no instance list yet'
        if self.config.age_ms() > self.bounds.freshness_ms:
            return 'configuration not confirmed'
        if not self.shares.is_known:
            return 'no share of the engine slots yet'
        return None
