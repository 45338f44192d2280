"""Decodes the JSON errors that processes of the system return."""

from catkinshunt import checks
from catkinshunt import errors


def read_error(body, peer):
    """Return the `errors.RequestError` that a reply body describes.

    Args:
        body: the complete body.
        peer: address of the sender.

    Examples:
        >>> body = b'{"error": {"code": "leaving", "ran": "no"}}'
        >>> read_error(body, '127.0.0.1:1')
        LeavingError('leaving')
    """
    try:
        fields = checks.load_json(body)['error']
        cls = _find_error_class(fields['code'], fields['ran'])
        message = str(fields.get('message', fields['code']))
        step = str(fields.get('step', ''))
        retry_after_s = fields.get('retry_after_s')
    except (ValueError, KeyError, TypeError, AttributeError):
        return errors.OutcomeUnknownError(
            'unreadable error', step='read', peer=peer
        )
    if not isinstance(retry_after_s, (int, float)):
        retry_after_s = None
    return cls(message, step=step, peer=peer, retry_after_s=retry_after_s)


def _find_error_class(code, ran):
    """Return the error class with this `code` and `ran`."""
    classes = [errors.RequestError]
    while classes:
        cls = classes.pop()
        if cls.code == code and cls.ran == ran:
            return cls
        classes.extend(cls.__subclasses__())
    if ran == 'no':
        return errors.RefusedError
    return errors.OutcomeUnknownError
