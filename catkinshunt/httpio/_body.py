"""Reads a streamed body."""

import http.client

#: Maximum size of a yielded piece.
PIECE_BYTES = 64 * 1024

#: Upper bound of the length of the end of one chunk and the first line of
#: the next.
_MAX_FRAME_BYTES = 20

#: Exceptions that reading a truncated body can raise.
READ_ERRORS = (OSError, ValueError, http.client.HTTPException)


def iter_body(resp, sock):
    """Yield the body of a reply in pieces, as soon as data arrives.

    Chunks that are already buffered are joined. When many streams compete
    for the processor, chunks queue up, and yielding each one separately
    would make the queue grow.

    Args:
        resp: an `http.client.HTTPResponse`.
        sock: the socket it is read from, with a timeout set.

    Raises:
        OSError, ValueError, http.client.HTTPException: the body was
            truncated; all data before that has been yielded.
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
    """Return whether the next chunk can be read without waiting.

    The end of a chunk arrives with it, so only the first line of the next
    chunk shows that. Reading on without it would delay a piece that is
    already available.
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
