"""Routes over the upstreams that the instance list shows."""

from catkinshunt import base
from catkinshunt import routing

_UPSTREAM = 'upstream'
_STATES = {'leaving': routing.State.LEAVING}


class Fleet(base.ParamsMixin):
    """Hands the instance list to a `routing.Router` when it has changed.

    Args:
        router: the `routing.Router`.
        directory: the `instances.Directory`.
    """

    def __init__(self, router, directory):
        self.router = router
        self.directory = directory
        self._offered = None

    def choose(self, req, now, policy_name=None):
        """Return the `routing.Choice` for a `routing.RouteRequest`.

        Args:
            req: the `routing.RouteRequest`.
            now: seconds, monotonic.
            policy_name: the rule's policy, or None for the router's.
        """
        revision = self.directory.revision
        if revision != self._offered:
            self._offered = revision
            self.router.offer(
                _make_view(instance)
                for instance in self.directory.instances
                if instance.role == _UPSTREAM
            )
        policy = routing.find_policy(policy_name) if policy_name else None
        return self.router.choose(req, now, policy)

    def observe(self, observation, now):
        """Learn from how an exchange ended."""
        self.router.observe(observation, now)


def _make_view(instance):
    return routing.UpstreamView(
        name=instance.name,
        address=instance.address,
        service=instance.service,
        data_centre=instance.data_centre,
        region=instance.region,
        state=_STATES.get(instance.state, routing.State.SERVING),
    )
