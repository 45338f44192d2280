"""Checks whether the reply of an upstream may be relayed."""

from catkinshunt import errors

#: Pause in seconds of an upstream that rejected a request. A paused upstream
#: is only chosen if all others are paused or unresponsive too.
FULL_PAUSE_S = 0.1
#: The same if it did not have the expected id or version.
MISDIRECTED_PAUSE_S = 0.5
#: `Retry-After` in seconds if no upstream accepted the request: about the
#: time in which an engine completes an answer.
BUSY_RETRY_S = 0.25
#: Pause in seconds of an upstream that rejects requests although it has free
#: slots. It is about to load another version: it completes its answers first,
#: and accepts no other request. The pause ends early when the upstream lists
#: other versions.
LOADING_PAUSE_S = 2.5
EVENT_STREAM = 'text/event-stream'


class ReplyCheck:
    """Checks the head of a reply before any part of it is relayed.

    Args:
        attempt: the `Attempt`.
        peer: address of the upstream as text.
    """

    def __init__(self, attempt, peer):
        self.attempt = attempt
        self.exchange = attempt.exchange
        self.context = attempt.context
        self.upstream = attempt.candidate.upstream
        self.state = attempt.candidate.state
        self.peer = peer

    def check(self, head, reply_info):
        """Raise an error if the reply must not be relayed.

        Args:
            head: `http1.ReplyHead`.
            reply_info: `base.ReplyInfo` of the head.

        Raises:
            errors.RefusedError: the upstream did not run the request.
            errors.OutcomeUnknownError: it may have run the request.
        """
        self._check_was_run(head, reply_info)
        if head.status in (408, 429, 503):
            # To clients these statuses mean that the request was not run. The
            # upstream did not state that, so they are not relayed.
            raise self._unknown_outcome(f'upstream answered {head.status}')
        if 200 <= head.status < 300 and not reply_info.is_signed:
            self.context.metrics.record_foreign_reply('unsigned')
            raise self._unknown_outcome('success without a signature')
        if self.exchange.progress.head_sent and not is_stream(head):
            raise self._unknown_outcome(
                f'upstream answered {head.status} instead of resuming the '
                'stream'
            )
        # Without another upstream that may answer, the client gets the error
        # itself.
        if head.status >= 500 and (
            self.attempt.has_concurrent_attempt
            or self.exchange.retry_check.can_fail_over()
        ):
            raise self._unknown_outcome(f'upstream failed with {head.status}')

    def _check_was_run(self, head, reply_info):
        """Pause an upstream that did not run the request, and raise."""
        if reply_info.misdirected:
            self.state.pause(self.context.clock(), MISDIRECTED_PAUSE_S)
            raise errors.RefusedError(
                'unexpected upstream id or version',
                step='read-reply',
                peer=self.peer,
            )
        if reply_info.not_executed and 200 <= head.status < 300:
            raise self._unknown_outcome('success that states it was not run')
        if reply_info.not_executed:
            self._back_off(reply_info)
            raise errors.OverloadedError(
                f'upstream rejected with {head.status}',
                step='read-reply',
                peer=self.peer,
                retry_after_s=BUSY_RETRY_S,
            )

    def _unknown_outcome(self, text):
        return errors.OutcomeUnknownError(
            text, step='read-reply', peer=self.peer
        )

    def _back_off(self, reply_info):
        """Pause an upstream after a rejection without a Retry-After."""
        if reply_info.back_off_s is not None:
            return
        now = self.context.clock()
        load = reply_info.load
        if load is not None and load.running < load.slots:
            self.state.pause(now, LOADING_PAUSE_S, self.upstream.versions)
        else:
            self.state.pause(now, FULL_PAUSE_S)


def is_stream(head):
    """Return whether a reply is a stream of server-sent events."""
    kind = head.headers.get('content-type') or ''
    return head.status == 200 and kind.startswith(EVENT_STREAM)
