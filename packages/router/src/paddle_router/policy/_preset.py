"""Policy settings that change together when another preset is activated."""

import attrs

from paddle_router.policy import _limits


@attrs.frozen(kw_only=True)
class PolicyPreset:
    """Class policies by name, customer weights and token-rate limits."""

    classes: dict = attrs.field(factory=dict)
    customer_weights: dict = attrs.field(factory=dict)
    limits: _limits.LimitSettings = attrs.field(factory=_limits.LimitSettings)


@attrs.frozen(kw_only=True)
class PolicySet:
    """The policies of one daemon that the preset configures."""

    scheduler: object
    limits: object
    admission: object

    def apply(self, preset):
        """Apply ``preset``; queued and running requests are kept."""
        self.scheduler.apply(preset.classes, preset.customer_weights)
        self.limits.apply(preset.limits)
        self.admission.apply(preset.classes)
