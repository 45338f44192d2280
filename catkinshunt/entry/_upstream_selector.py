"""Selects among the upstreams in the instance list."""

from catkinshunt import base
from catkinshunt import routing

_UPSTREAM_ROLE = 'upstream'
_STATES = {'leaving': routing.State.LEAVING}


class UpstreamSelector(base.ParamsMixin):
    """Updates a `routing.Router` whenever the instance list changes.

    Args:
        router: the `routing.Router`.
        directory: the `instances.Directory`.
    """

    def __init__(self, router, directory):
        self.router = router
        self.directory = directory
        self._routed_revision = None

    def choose(self, req, now, policy_name=None):
        """Return the `routing.Choice` for a `routing.RouteRequest`.

        Args:
            req: the `routing.RouteRequest`.
            now: seconds, monotonic.
            policy_name: policy of the rule, or None for the default policy of
                the router.
        """
        revision = self.directory.revision
        if revision != self._routed_revision:
            self._routed_revision = revision
            self.router.offer(
                _make_upstream_view(instance)
                for instance in self.directory.instances
                if instance.role == _UPSTREAM_ROLE
            )
        policy = routing.find_policy(policy_name) if policy_name else None
        return self.router.choose(req, now, policy)

    def observe(self, observation, now):
        """Report an exchange to the router."""
        self.router.observe(observation, now)


def _make_upstream_view(instance):
    return routing.UpstreamView(
        name=instance.name,
        address=instance.address,
        service=instance.service,
        data_centre=instance.data_centre,
        region=instance.region,
        started_at_ms=instance.started_at_ms,
        state=_STATES.get(instance.state, routing.State.SERVING),
    )
