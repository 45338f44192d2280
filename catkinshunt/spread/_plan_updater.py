"""Keeps the plan of one transfer in line with the listed members."""

import asyncio

from catkinshunt import errors
from catkinshunt import logs
from catkinshunt.spread import _plan

#: Shortest and longest time between two reads of the members. It doubles
#: while nothing changes: the store counts each read.
MIN_PERIOD_S = 1.6
MAX_PERIOD_S = 12.8

_log = logs.get_logger('transfer')


class PlanUpdater:
    """Reads the members again during a transfer.

    After an outage of the store, or a restart of everything, the list holds
    few members at first. With such a list each member would fetch the whole
    version from the origin.

    Args:
        plan: `SourcePlan` of the transfer.
        cluster_view: `base.BaseClusterView`.
    """

    def __init__(self, plan, cluster_view):
        self.plan = plan
        self.cluster_view = cluster_view
        self._period_s = MIN_PERIOD_S

    async def run(self, on_change):
        """Update the plan until cancelled.

        Args:
            on_change: function that is called after each change of the plan.
        """
        while True:
            await asyncio.sleep(self._period_s)
            try:
                members, connections = await read_sources(self.cluster_view)
            except errors.CatkinshuntError as exc:
                _log.warning('Reading the members failed: {}.', exc)
                continue
            if self.plan.update_members(members, connections):
                self._period_s = MIN_PERIOD_S
                _log.info(
                    'Version {} of {} has {} members.',
                    self.plan.version,
                    self.plan.model,
                    len(self.plan.members),
                )
                on_change()
            elif self._lists_local_member(members):
                self._period_s = min(2 * self._period_s, MAX_PERIOD_S)

    def _lists_local_member(self, members):
        """Return whether the list can be complete."""
        name = self.plan.local_member.name
        return any(member.name == name for member in members)


async def read_sources(cluster_view):
    """Return the members and the connection limit of the origin."""
    members, connections = await asyncio.gather(
        cluster_view.members(), cluster_view.origin_connections()
    )
    return members, connections or _plan.UNKNOWN_CONNECTIONS
