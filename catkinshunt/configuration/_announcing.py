"""Hands a revision just accepted to a few processes directly."""

import concurrent.futures

from catkinshunt import checks
from catkinshunt.configuration import _updates
from catkinshunt import errors

MIN_ACCEPTED = 3
#: Peers called at most; some that the list shows may be gone.
MAX_CALLS = 12
TIMEOUT_S = 3.0


def announce(
    configuration,
    peering,
    members,
    random_state=None,
    min_accepted=MIN_ACCEPTED,
):
    """Offer `configuration` to random processes until a few have taken it.

    The watchers learn it from the key-value service. If that goes down right
    after it accepted the edit, nobody would have it before it is back; these
    few then hand it on.

    Args:
        configuration: the revision just accepted.
        peering: a `dissemination.BasePeering`.
        members: instances with a control address.
        random_state: seed or `random.Random`.
        told: how many should have taken it.

    Returns:
        How many took it.
    """
    rng = checks.check_random_state(random_state)
    chosen = rng.sample(members, min(MAX_CALLS, len(members)))
    update = _updates.make_update(configuration, configuration.revision - 1)
    n_accepted = 0
    while chosen and n_accepted < min_accepted:
        batch, chosen = (
            chosen[: min_accepted - n_accepted],
            chosen[min_accepted - n_accepted :],
        )
        futs = [peering.offer(peer, update) for peer in batch]
        concurrent.futures.wait(futs, TIMEOUT_S)
        n_accepted += sum(_has_accepted(fut, update) for fut in futs)
    return n_accepted


def _has_accepted(fut, update):
    try:
        return fut.result(timeout=0) >= update.revision
    except (errors.PeerError, TimeoutError):
        return False
