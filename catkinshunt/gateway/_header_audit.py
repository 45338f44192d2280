"""Reports what upstreams and clients send and the gateway ignores."""

from catkinshunt import logs

#: Most names of unknown headers that are logged and counted by name.
MAX_NAMES = 32
#: Label of all others, which is no header name.
OTHER_NAMES = '(other)'
#: Least seconds between two lines on one header of one upstream.
REPEAT_S = 60.0
#: Most pairs of an upstream and a header whose lines are remembered.
MAX_LINES = 1000

_log = logs.get_logger('headers')


class HeaderAudit:
    """Counts and logs headers that are unknown or cannot be read.

    A header that an upstream adds to its replies may ask something of its
    callers, and the operator has to know that it is ignored.

    Args:
        counter: `metrics.Counter` by reason and header.
    """

    def __init__(self, counter):
        self.counter = counter
        self._names = set()
        #: Time of the last line by upstream id and header.
        self._logged_at = {}

    def observe(self, upstream_id, reply_info, now):
        """Record the headers of one reply that are ignored.

        Args:
            upstream_id: id of the upstream.
            reply_info: `base.ReplyInfo` of the reply.
            now: seconds on the boot-time clock.
        """
        for name in reply_info.invalid_headers:
            self.counter.add('invalid', name.lower())
            if self._may_log(upstream_id, name, now):
                _log.warning(
                    'Ignored the invalid header {} of upstream {}; what it'
                    ' stated before holds.',
                    name,
                    upstream_id,
                )
        for name in reply_info.unknown_headers:
            is_new = self._is_new(name.lower())
            is_counted = name.lower() in self._names
            self.counter.add(
                'unknown', name.lower() if is_counted else OTHER_NAMES
            )
            if is_new:
                _log.warning(
                    'Upstream {} sends the unknown header {}, which is passed'
                    ' on and not heeded.',
                    upstream_id,
                    name,
                )

    def _is_new(self, name):
        if name in self._names or len(self._names) >= MAX_NAMES:
            return False
        self._names.add(name)
        return True

    def _may_log(self, upstream_id, name, now):
        logged_at = self._logged_at.get((upstream_id, name))
        if logged_at is not None and now - logged_at < REPEAT_S:
            return False
        if len(self._logged_at) >= MAX_LINES:
            self._logged_at.clear()
        self._logged_at[upstream_id, name] = now
        return True


class RequestAudit:
    """Counts and logs requests with prompt parts that are ignored.

    The quarantine does not know an ignored part. If it crashes upstreams,
    each request with it is suspected separately.

    Args:
        counter: `metrics.Counter` without labels.
    """

    def __init__(self, counter):
        self.counter = counter
        self._logged_at = None
        self._since_logged = 0

    def observe(self, info, now):
        """Record the prompt parts of one request that are ignored.

        Args:
            info: `base.RequestInfo` of the request.
            now: seconds on the boot-time clock.
        """
        if not info.omitted_parts:
            return
        self.counter.add()
        self._since_logged += 1
        if self._logged_at is not None and now - self._logged_at < REPEAT_S:
            return
        _log.warning(
            'Left out parts of the prompt of request {}: {}; {} requests'
            ' with such parts since the last line.',
            info.id,
            '; '.join(info.omitted_parts),
            self._since_logged,
        )
        self._logged_at = now
        self._since_logged = 0
