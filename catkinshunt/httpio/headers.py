"""Names of the HTTP headers that callers and our processes use."""

import urllib.parse

#: Given by the caller; who the request is for.
ACCOUNT = 'Catkinshunt-Account'
#: Given by the caller; one key for all tries of one operation.
IDEMPOTENCY_KEY = 'Idempotency-Key'
#: Milliseconds left to the deadline when the message was sent.
DEADLINE_MS = 'Catkinshunt-Deadline-Ms'
#: One id for a request over all processes, echoed in each reply.
REQUEST_ID = 'Catkinshunt-Request-Id'
#: One id for each try of a request at an upstream.
ATTEMPT_ID = 'Catkinshunt-Attempt-Id'
#: Seconds since the epoch after which the attempt must not be dispatched;
#: given with attempts at requests that are not idempotent.
NOT_AFTER = 'Catkinshunt-Not-After'
#: One id for each exchange between our processes, echoed in the reply; a
#: reply without it is not the answer to this request.
EXCHANGE_ID = 'Catkinshunt-Exchange-Id'
#: Marks a reply that the sending process itself made of an error; its code.
ERROR = 'Catkinshunt-Error'
#: Share of the request's account when accounts compete.
WEIGHT = 'Catkinshunt-Weight'
#: Priority in the engine's queue; higher goes first.
PRIORITY = 'Catkinshunt-Priority'
#: Model versions served by the replying sidecar: model/version, by commas.
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
#: The deployment's key; only our own processes hold it.
DEPLOYMENT_KEY = 'Catkinshunt-Key'
#: The model version an engine answered from.
ENGINE_MODEL_VERSION = 'Model-Version'


def encode_text(text):
    """Return `text` as a header value may hold it.

    Headers carry Latin-1 only, and operators name models in any language;
    separators of lists are escaped too.

    Examples:
        >>> encode_text('a/b,c')
        'a%2Fb%2Cc'
        >>> decode_text(encode_text('a/b,c'))
        'a/b,c'
    """
    return urllib.parse.quote(text, safe='')


def decode_text(value):
    """Return the text that `encode_text` put in a header."""
    return urllib.parse.unquote(value)
