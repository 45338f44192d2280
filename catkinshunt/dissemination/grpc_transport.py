"""Dissemination over the control channel."""

import concurrent.futures
import time

from catkinshunt import base as shared
from catkinshunt.dissemination import base
from catkinshunt.dissemination import dissemination_grpc
from catkinshunt.dissemination import dissemination_pb2
from catkinshunt import peers


class GrpcPeerTransport(shared.ParamsMixin, base.BasePeerTransport):
    """Calls the control port of other processes.

    Args:
        name: name of the own instance.
        pool: `peers.PeerPool`.
    """

    def __init__(self, name, pool):
        self.name = name
        self.pool = pool

    def offer(self, peer, update):
        """See `base.BasePeerTransport.offer`."""
        message = dissemination_pb2.Offered(
            sender=self.name, update=_to_message(update)
        )
        fut = self._call(peer, 'Offer', message)
        return _mapped(fut, lambda held: held.topics[0].revision)

    def pull(self, peer, held):
        """See `base.BasePeerTransport.pull`."""
        message = _held_message(self.name, held)
        fut = self._call(peer, 'Pull', message)
        return _mapped(
            fut, lambda reply: tuple(map(_from_message, reply.updates))
        )

    def _call(self, peer, method, message):
        stub = dissemination_grpc.DisseminationStub
        return self.pool.call(peer.control_address, stub, method, message)


class Handler(dissemination_grpc.DisseminationBase):
    """Answers the calls of other processes for a `Disseminator`."""

    def __init__(self, disseminator):
        self.disseminator = disseminator

    async def Offer(self, stream):
        """Take what a peer offers."""
        message = await stream.recv_message()
        update = _from_message(message.update)
        revision = await peers.run_blocking(
            self.disseminator.handle_offer,
            update,
            message.sender,
            time.monotonic(),
        )
        held = {update.topic: revision}
        await stream.send_message(_held_message(self.disseminator.name, held))

    async def Pull(self, stream):
        """Give a peer what is newer than what it holds."""
        message = await stream.recv_message()
        held = {item.topic: item.revision for item in message.topics}
        updates = await peers.run_blocking(
            self.disseminator.handle_pull,
            held,
            message.sender,
            time.monotonic(),
        )
        await stream.send_message(
            dissemination_pb2.Updates(updates=map(_to_message, updates))
        )


def _held_message(sender, held):
    topics = [
        dissemination_pb2.TopicRevision(topic=topic, revision=revision)
        for topic, revision in held.items()
    ]
    return dissemination_pb2.Held(sender=sender, topics=topics)


def _to_message(update):
    return dissemination_pb2.Update(
        topic=update.topic,
        revision=update.revision,
        base_revision=update.base_revision,
        edits=update.edits,
        document=update.document,
        digest=update.digest,
    )


def _from_message(message):
    return base.Update(
        topic=message.topic,
        revision=message.revision,
        base_revision=message.base_revision,
        edits=tuple(message.edits),
        document=message.document,
        digest=message.digest,
    )


def _mapped(fut, function):
    """Return a future of `function` of the result of `fut`."""
    mapped = concurrent.futures.Future()

    def finish(done):
        try:
            mapped.set_result(function(done.result()))
        except concurrent.futures.CancelledError:
            mapped.cancel()
        except Exception as exc:
            mapped.set_exception(exc)

    fut.add_done_callback(finish)
    return mapped
