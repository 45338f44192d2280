"""Reads a body as it comes."""

import http.client

#: Most bytes handed on at once.
PIECE_BYTES = 64 * 1024

#: Bytes in which the end of a chunk and the first line of the next one lie.
_MAX_FRAME_BYTES = 20

#: What reading a body that breaks off can raise.
READ_ERRORS = (OSError, ValueError, http.client.HTTPException)


def iter_body(resp, sock):
    """Yield the body of a reply, without waiting for more than has come.

    Chunks that have come already are joined: where many streams compete for
    the processor they pile up, and handing on each by itself would make the
    pile grow.

    Args:
        resp: an `http.client.HTTPResponse`.
        sock: the socket it is read from, in timeout mode.

    Raises:
        OSError, ValueError, http.client.HTTPException: it broke off; what
            came before has been yielded.
    """
    while piece := resp.read1(PIECE_BYTES):
        if not resp.chunked:
            yield piece
            continue
        parts, size = [piece], len(piece)
        error = None
        try:
            while size < PIECE_BYTES and _is_next_chunk_buffered(resp, sock):
                parts.append(resp.read1(PIECE_BYTES))
                size += len(parts[-1])
        except READ_ERRORS as exc:
            error = exc
        yield b''.join(parts)
        if error is not None:
            raise error


def _is_next_chunk_buffered(resp, sock):
    """Return whether reading on would not wait for the next chunk.

    What ends a chunk comes with it, so only the next one's first line tells;
    to read on before that would hold back a piece that is already here.
    """
    if resp.isclosed() or resp.chunk_left:
        return False
    timeout_s = sock.gettimeout()
    sock.settimeout(0)
    try:
        ahead = resp.fp.peek(1)
    finally:
        sock.settimeout(timeout_s)
    return ahead.count(b'\n', 0, _MAX_FRAME_BYTES) >= 2
