"""Pushes a newly accepted revision to a few processes."""

import concurrent.futures

from catkinshunt import checks
from catkinshunt.configuration import _updates
from catkinshunt import errors

MIN_ACCEPTED = 3
#: Maximum number of peers called; some listed peers may have stopped.
MAX_CALLS = 12
TIMEOUT_S = 3.0


def announce(
    configuration,
    transport,
    members,
    random_state=None,
    min_accepted=MIN_ACCEPTED,
):
    """Push `configuration` to random processes until a few accepted it.

    Watchers read it from the key-value service. If the service goes down
    right after accepting the edit, no process would get it until the service
    is back; the few that accepted the push disseminate it meanwhile.

    Args:
        configuration: `Configuration` just accepted.
        transport: a `dissemination.BasePeerTransport`.
        members: instances with a control address.
        random_state: seed or `random.Random`.
        min_accepted: number of processes that should accept it.

    Returns:
        The number of processes that accepted it.
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
        # Each future resolves to the revision of the peer after the offer.
        futs = [transport.offer(peer, update) for peer in batch]
        concurrent.futures.wait(futs, TIMEOUT_S)
        n_accepted += sum(_has_accepted(fut, update) for fut in futs)
    return n_accepted


def _has_accepted(fut, update):
    try:
        return fut.result(timeout=0) >= update.revision
    except (errors.PeerError, TimeoutError):
        return False
