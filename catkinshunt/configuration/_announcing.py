"""Hands a revision just accepted to a few processes directly."""

import concurrent.futures

from catkinshunt import checks
from catkinshunt.configuration import _updates
from catkinshunt import errors

TOLD = 3
#: Peers called at most; some that the list shows may be gone.
MAX_CALLS = 12
TIMEOUT_S = 3.0


def announce(configuration, transport, members, random_state=None, told=TOLD):
    """Offer `configuration` to random processes until a few have taken it.

    The watchers learn it from the key-value service. If that goes down right
    after it accepted the edit, nobody would have it before it is back; these
    few then hand it on.

    Args:
        configuration: the revision just accepted.
        peering: a `dissemination.BasePeerTransport`.
        members: instances with a control address.
        random_state: seed or `random.Random`.
        told: how many should have taken it.

    Returns:
        How many took it.
    """
    rng = checks.check_random_state(random_state)
    chosen = rng.sample(members, min(MAX_CALLS, len(members)))
    update = _updates.make_update(configuration, configuration.revision - 1)
    taken = 0
    while chosen and taken < told:
        batch, chosen = chosen[: told - taken], chosen[told - taken :]
        futs = [transport.offer(peer, update) for peer in batch]
        concurrent.futures.wait(futs, TIMEOUT_S)
        taken += sum(_took(fut, update) for fut in futs)
    return taken


def _took(fut, update):
    try:
        return fut.result(timeout=0) >= update.revision
    except (errors.PeerError, TimeoutError):
        return False
