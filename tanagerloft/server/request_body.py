"""Reads the body of a request within bounds."""

from tanagerloft.filters import errors
from tanagerloft.util import clock as clock_lib

_READ_PIECE_BYTES = 65_536


def read(
    environ: dict, max_bytes: int, timeout_ms: int, clock: clock_lib.Clock
) -> bytes | errors.Refusal:
    """Reads the whole body within bounds on its size and on time."""
    if environ.get("HTTP_TRANSFER_ENCODING"):
        return errors.LENGTH_REQUIRED
    wanted = int(environ.get("CONTENT_LENGTH") or 0)
    if wanted > max_bytes:
        return errors.BODY_TOO_LARGE
    deadline_ms = clock.now_ms() + timeout_ms
    pieces: list[bytes] = []
    received = 0
    while received < wanted:
        if clock.now_ms() > deadline_ms:
            return errors.SLOW_SENDER
        piece = _read_piece(environ, min(_READ_PIECE_BYTES, wanted - received))
        if isinstance(piece, errors.Refusal):
            return piece
        if not piece:
            return errors.CLIENT_GONE
        pieces.append(piece)
        received += len(piece)
    return b"".join(pieces)


def _read_piece(environ: dict, size: int) -> bytes | errors.Refusal:
    stream = environ["wsgi.input"]
    try:
        return stream.read(size)
    except TimeoutError:
        return errors.SLOW_SENDER
    except OSError:
        return errors.CLIENT_GONE
