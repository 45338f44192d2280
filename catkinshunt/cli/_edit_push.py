"""Sends an accepted edit from the operator directly to a few instances."""

from catkinshunt import errors
from catkinshunt import httpio


def announce(cfg, accepted):
    """Send the accepted configuration to a few listed instances.

    Without this, an edit that the key-value service accepted right before
    an outage would take effect only after the outage.

    Args:
        cfg: `settings.OperatorSettings`.
        accepted: the `configuration.Configuration`.

    Returns:
        Number of instances that accepted it; 0 without key or list.
    """
    if not cfg.deployment_key:
        return 0
    # Imported here, since only edits need the control channel, and other
    # commands start faster without it.
    from catkinshunt import configuration
    from catkinshunt.dissemination import grpc_transport
    from catkinshunt import instances
    from catkinshunt import peers

    directory = instances.Directory()
    address = httpio.Address.parse(cfg.platform.instance_list)
    try:
        instances.ListSource(address, directory).fetch(0)
    except errors.PeerError:
        return 0
    with peers.LoopThread() as loop:
        pool = peers.PeerPool(cfg.deployment_key, loop)
        operator = grpc_transport.GrpcPeerTransport('operator', pool)
        accepted_count = configuration.announce(
            accepted, operator, directory.members
        )
        pool.close()
    return accepted_count
