"""The policies of one daemon and their settings from the configuration."""

import random

import attrs

from paddle_router import policy


def classes_of(view):
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
        customers=_known(view.state.customers, name),
        classes=_known(view.classes, name),
    )


def _known(items, field):
    values = {key: getattr(item, field) for key, item in items.items()}
    return {key: value for key, value in values.items() if value is not None}


@attrs.define(kw_only=True)
class Policies:
    """Policies shared by all models; scheduler and balancer are per model."""

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
        """Use the settings of another version of the configuration."""
        self.classes = classes_of(view)
        self.customer_weights = {
            name: item.weight for name, item in view.state.customers.items()
        }
        self.admission.apply(self.classes)
        self.tokens.apply(_limits(view, 'tokens_per_s'))
        self.requests.apply(_limits(view, 'requests_per_s'))

    def new_scheduler(self):
        """Return a scheduler with the present settings."""
        return policy.schedulers.create(
            self.scheduler,
            classes=self.classes,
            customer_weights=self.customer_weights,
        )

    def new_balancer(self):
        """Return a balancer."""
        return policy.balancers.create(self.balancer, rng=self.rng)

    def set_share(self, share):
        """Own the part ``share`` of all limits."""
        self.tokens.set_share(share)
        self.requests.set_share(share)
