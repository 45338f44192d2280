"""Brings one request to its whole answer, or to a clear error."""

import json
import time

from catkinshunt.entry import _lines
from catkinshunt.entry import _relay
from catkinshunt import errors
from catkinshunt import httpio
from catkinshunt.httpio import headers
from catkinshunt import logs
from catkinshunt import routing

#: Bodies of a known length up to this are read whole before the caller gets
#: the first byte, so that one that breaks off can still be asked for again.
_WHOLE_BYTES = 1024 * 1024
_PASSED_ON = ('Content-Type', headers.ENGINE_MODEL_VERSION)
_log = logs.get_logger('routing')


class Delivery:
    """The tries of one request.

    Args:
        fleet: a `Fleet`.
        relay: a `Relay`.
        retry: a `retries.RetryPolicy`.
        req: the `CallerRequest`.
        rule: the rule that matched.
    """

    def __init__(self, fleet, relay, retry, req, rule):
        self.fleet = fleet
        self.relay = relay
        self.retry = retry
        self.req = req
        self.rule = rule
        self._tries = 0
        self._tried = set()
        self._may_have_run = False
        self._choice = None
        self._reported = _relay.Reported()
        self._failure = None

    def answer(self):
        """Return the `httpio.Response`; a stream goes on being read.

        Raises:
            errors.RequestError: there is no answer.
        """
        self.retry.add_request()
        while True:
            opened = self._open()
            if opened.streamed and self.req.model:
                return self._respond(opened, self._stream(opened))
            length = opened.resp.length
            if length is None or length > _WHOLE_BYTES:
                return self._respond(opened, self._pass_on(opened))
            try:
                body = self.relay.read_whole(opened)
            except errors.IncompleteAnswerError as exc:
                self._fail(exc)
                continue
            self._end(routing.Result.ANSWERED)
            return self._respond(opened, [body])

    def _respond(self, opened, body):
        passed = [
            (name, value)
            for name in _PASSED_ON
            if (value := opened.resp.getheader(name)) is not None
        ]
        passed.append((headers.REQUEST_ID, self.req.request_id))
        if isinstance(body, list):
            passed.append(('Content-Length', str(len(body[0]))))
        return httpio.Response(opened.resp.status, body, tuple(passed))

    def _open(self, resume=None):
        """Try upstreams until one begins to answer.

        Raises:
            errors.RequestError: no further try is allowed.
        """
        while True:
            self._choose(resume)
            try:
                opened = self.relay.open(
                    self.req,
                    self.rule.then,
                    self._choice.upstream.address,
                    time.monotonic(),
                    resume,
                    self._learn,
                )
            except errors.RequestError as exc:
                self._fail(exc)
                continue
            self._observe(routing.Result.ANSWERED, finished=False)
            return opened

    def _choose(self, resume):
        now = time.monotonic()
        if now >= self.req.deadline:
            self._give_up(
                errors.RefusedError('deadline has passed', step='choose')
            )
        route = self.rule.then
        version = resume.version if resume else route.version
        wanted = routing.RouteRequest(
            service=route.service,
            request_id=self.req.request_id,
            prefix=self.req.prefix,
            model=self.req.model,
            model_version=version or '',
            excluded=self._tried,
            idempotent=self.req.idempotent,
        )
        try:
            self._choice = self.fleet.choose(wanted, now, route.policy)
        except errors.RefusedError as exc:
            # What the last upstream said tells the caller more.
            self._give_up(self._failure or exc)
        self._tries += 1
        self._reported = _relay.Reported()
        _log.info(
            'Rule {rule}: {choice} of {candidates}, {grounds}.',
            request_id=self.req.request_id,
            rule=self.rule.name,
            choice=self._choice.upstream.name,
            candidates=self._choice.candidates,
            grounds=self._choice.grounds,
        )

    def _learn(self, reported):
        """Keep what the head of a reply says of its sender."""
        self._reported = reported

    def _observe(self, result, finished):
        """Tell the router of an exchange, and once what its head said.

        At the end of a long stream the head's load is old.
        """
        told, self._reported = self._reported, _relay.Reported()
        self.fleet.observe(
            routing.Observation(
                self._choice.upstream,
                result,
                state=told.state,
                load=told.load,
                model_versions=told.served,
                finished=finished,
            ),
            time.monotonic(),
        )

    def _end(self, result):
        """Note that the exchange with the chosen upstream has ended."""
        self._observe(result, finished=True)

    def _fail(self, exc):
        """Note a failed try; return if another one is allowed.

        Raises:
            errors.RequestError: it is not.
        """
        refused = exc.ran == 'no' and exc.step != 'connect'
        result = routing.Result.FAILED
        if refused:
            result = routing.Result.REFUSED
        self._end(result)
        self._may_have_run |= exc.ran != 'no'
        self._tried.add(self._choice.upstream.name)
        self._failure = exc
        verdict = self.retry.check(
            exc,
            self.req.idempotent,
            self._tries,
            self.req.deadline,
            time.monotonic(),
        )
        _log.info(
            'Failed at {choice}, {verdict}: {cause}; {grounds}.',
            request_id=self.req.request_id,
            choice=self._choice.upstream.name,
            verdict='tried again' if verdict.should_retry else 'given up',
            cause=exc,
            grounds=verdict.grounds,
        )
        if not verdict.should_retry:
            self._give_up(exc)

    def _give_up(self, exc):
        """Raise `exc`, or what is true of all tries together."""
        if exc.ran == 'no' and self._may_have_run:
            raise errors.OutcomeUnknownError(
                f'an earlier try may have run; {exc.message}',
                step=exc.step,
                peer=exc.peer,
                retry_after_s=exc.retry_after_s,
            ) from exc
        raise exc

    def _pass_on(self, opened):
        """Yield a body that is too long to be held."""
        ended = routing.Result.CANCELLED
        try:
            yield from self.relay.read(opened)
            ended = routing.Result.ANSWERED
        except errors.IncompleteAnswerError:
            ended = routing.Result.FAILED
            raise
        finally:
            if ended != routing.Result.ANSWERED:
                opened.close()
            self._end(ended)

    def _stream(self, opened):
        """Yield whole lines, taking the stream up elsewhere if it breaks."""
        follower = _lines.LineFollower(self.req.first_index)
        try:
            while True:
                try:
                    yield from self._follow(opened, follower)
                    self._end(routing.Result.ANSWERED)
                    return
                except errors.IncompleteAnswerError as exc:
                    opened.close()
                    if follower.done:
                        # The caller has all lines; only what ends the body
                        # was lost.
                        self._end(routing.Result.FAILED)
                        return
                    opened = self._take_up(exc, follower, opened)
        except GeneratorExit:
            # The caller went away; the sidecar sees the connection close and
            # has the engine cancel, or it would go on for nobody.
            opened.close()
            self._end(routing.Result.CANCELLED)
            raise
        except errors.RequestError as exc:
            # Without this line and the break a caller could take what came
            # so far for the whole answer.
            yield _error_line(exc, self.req.request_id)
            raise

    def _follow(self, opened, follower):
        for piece in self.relay.read(opened):
            lines = follower.feed(piece)
            if lines:
                yield lines
            follower.check()
        follower.check_end()

    def _take_up(self, exc, follower, broken):
        """Return the stream's rest from another upstream."""
        self._fail(exc)
        follower.drop_part()
        version = broken.model_version
        resume = _relay.Resume(follower.next_index, version)
        opened = self._open(resume)
        if opened.model_version != version:
            # Pieces of two versions would make one answer of neither.
            opened.close()
            self._end(routing.Result.REFUSED)
            raise errors.IncompleteAnswerError(
                f'no other upstream answered from version {version}',
                step='resume',
                peer=str(opened.address),
            )
        return opened


def _error_line(exc, request_id):
    value = {
        'code': errors.IncompleteAnswerError.code,
        'message': exc.message,
        'ran': errors.IncompleteAnswerError.ran,
        'retry_after_s': exc.retry_after_s,
        'request_id': request_id,
        'step': exc.step,
    }
    return json.dumps({'error': value}).encode() + b'\n'
