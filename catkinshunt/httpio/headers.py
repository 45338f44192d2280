"""Names of the HTTP headers of callers and of the system."""

import urllib.parse

#: Set by the caller; the account of the request.
ACCOUNT = 'Catkinshunt-Account'
#: Set by the caller; one key for all retries of one operation.
IDEMPOTENCY_KEY = 'Idempotency-Key'
#: Milliseconds left until the deadline when the message was sent.
DEADLINE_MS = 'Catkinshunt-Deadline-Ms'
#: Id of a request, the same in all processes; echoed in each reply.
REQUEST_ID = 'Catkinshunt-Request-Id'
#: Id of one attempt of a request at an upstream.
ATTEMPT_ID = 'Catkinshunt-Attempt-Id'
#: Seconds since the epoch after which the attempt must not be dispatched;
#: set for requests that are not idempotent.
NOT_AFTER = 'Catkinshunt-Not-After'
#: Id of one exchange between processes of the system, echoed in the reply;
#: a reply without it does not belong to this request.
EXCHANGE_ID = 'Catkinshunt-Exchange-Id'
#: Code of an error that the sending process itself reports.
ERROR = 'Catkinshunt-Error'
#: Weight of the request's account when accounts compete.
WEIGHT = 'Catkinshunt-Weight'
#: Priority in the engine's queue; higher values go first.
PRIORITY = 'Catkinshunt-Priority'
#: Model versions served by the replying sidecar: model/version, separated
#: by commas.
SERVED = 'Catkinshunt-Served'
#: The model and version that the request was routed for.
MODEL = 'Catkinshunt-Model'
MODEL_VERSION = 'Catkinshunt-Model-Version'
#: Revision of the configuration in force at the sender.
REVISION = 'Catkinshunt-Revision'
#: State of the replying instance: serving or leaving.
STATE = 'Catkinshunt-State'
#: Requests in flight and queued at the replying sidecar.
LOAD = 'Catkinshunt-Load'
#: Shared key of the processes of a deployment.
DEPLOYMENT_KEY = 'Catkinshunt-Key'
#: Seconds for which the upstream beside the replying sidecar wants no
#: requests.
BACK_OFF_S = 'Catkinshunt-BackOff-S'
#: Set to 1 by an upstream that takes no new requests until it starts anew.
UPSTREAM_LEAVING = 'Server-Leaving'
#: Set by an upstream that turns a request away: seconds for which it wants
#: none. Also set for callers.
RETRY_AFTER = 'Retry-After'
#: The model version that an engine replied with.
ENGINE_MODEL_VERSION = 'Model-Version'


def encode_text(text):
    """Return `text` escaped for a header value.

    Headers are limited to Latin-1, and operators name models in any
    language. List separators are escaped too.

    Examples:
        >>> encode_text('a/b,c')
        'a%2Fb%2Cc'
        >>> decode_text(encode_text('a/b,c'))
        'a/b,c'
    """
    return urllib.parse.quote(text, safe='')


def decode_text(value):
    """Return the text that `encode_text` escaped."""
    return urllib.parse.unquote(value)
