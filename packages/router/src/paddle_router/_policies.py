"""The policies of one daemon and their settings from the configuration."""

import random

import attrs

from paddle_router import policy


def class_policies(view):
    """Return the policy settings of all classes of ``view``."""
    return {
        name: policy.ClassPolicy(
            tier=item.tier,
            weight=item.weight,
            min_share=item.min_share,
            first_token_ms=item.first_token_target_ms,
            inter_token_ms=item.inter_token_target_ms,
        )
        for name, item in view.classes.items()
    }


def _limits(view, name):
    return policy.LimitSettings(
        customers=_configured_values(view.state.customers, name),
        classes=_configured_values(view.classes, name),
    )


def _configured_values(items, field):
    values = {key: getattr(item, field) for key, item in items.items()}
    return {key: value for key, value in values.items() if value is not None}


@attrs.define(kw_only=True)
class Policies:
    """Policies shared by all models, and factories for those of one model.

    Each model has a scheduler and a balancer of its own.
    """

    scheduler: str = 'tiered_fair'
    balancer: str = 'observed'
    rng: random.Random = attrs.field(factory=random.Random)
    admission: object = attrs.field(factory=policy.Admission)
    lengths: object = attrs.field(factory=policy.LengthEstimator)
    tokens: object = attrs.field(factory=policy.Limits)
    requests: object = attrs.field(factory=policy.Limits)
    classes: dict = attrs.field(factory=dict)
    customer_weights: dict = attrs.field(factory=dict)

    def apply(self, view):
        """Use the settings in ``view``, a version of the configuration."""
        self.classes = class_policies(view)
        self.customer_weights = {
            name: item.weight for name, item in view.state.customers.items()
        }
        self.admission.apply(self.classes)
        self.tokens.apply(_limits(view, 'tokens_per_s'))
        self.requests.apply(_limits(view, 'requests_per_s'))

    def new_scheduler(self):
        """Return a new scheduler with the current settings."""
        return policy.schedulers.create(
            self.scheduler,
            classes=self.classes,
            customer_weights=self.customer_weights,
        )

    def new_balancer(self):
        """Return a new balancer."""
        return policy.balancers.create(self.balancer, rng=self.rng)

    def set_share(self, share):
        """Apply ``share`` of all rate limits at this daemon."""
        self.tokens.set_share(share)
        self.requests.set_share(share)
