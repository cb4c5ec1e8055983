"""Identifiers and digests."""

import hashlib
import secrets

_ID_BYTES = 16
_SHORT_ID_BYTES = 6


def new_id() -> str:
    """Returns a random identifier of 32 hexadecimal digits."""
    return secrets.token_hex(_ID_BYTES)


def short_id() -> str:
    """Returns a random identifier of 12 hexadecimal digits."""
    return secrets.token_hex(_SHORT_ID_BYTES)


def sha256_hex(data: bytes | str) -> str:
    """Returns the SHA-256 digest of ``data`` in hexadecimal."""
    if isinstance(data, str):
        data = data.encode()
    return hashlib.sha256(data).hexdigest()


def stable_score(*parts: str) -> int:
    """Returns a 64-bit number that depends only on ``parts``.

    Used for rendezvous hashing, so it must not change between releases.
    """
    joined = "\x00".join(parts).encode()
    digest = hashlib.blake2b(joined, digest_size=8).digest()
    return int.from_bytes(digest, "big")
