"""Settings of the policies that change together when a preset is switched."""

import attrs

from paddle_router.policy import _limits


@attrs.frozen(kw_only=True)
class PolicyPreset:
    """Classes by name, weights of customers and token-rate limits."""

    classes: dict = attrs.field(factory=dict)
    customer_weights: dict = attrs.field(factory=dict)
    limits: _limits.LimitSettings = attrs.field(factory=_limits.LimitSettings)


@attrs.frozen(kw_only=True)
class PolicySet:
    """The policies of one daemon that depend on the preset."""

    scheduler: object
    limits: object
    admission: object

    def apply(self, preset):
        """Switch to ``preset``; queued and running requests stay."""
        self.scheduler.apply(preset.classes, preset.customer_weights)
        self.limits.apply(preset.limits)
        self.admission.apply(preset.classes)
