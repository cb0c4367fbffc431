"""Customer keys, operator secrets and message signatures."""

import hashlib
import hmac


def hash_key(key: str) -> str:
    """Return the SHA-256 of a customer key, as kept in the contract."""
    return hashlib.sha256(key.encode()).hexdigest()


def secrets_match(given: str, expected: str) -> bool:
    """Return whether two secrets are equal, compared in constant time."""
    return hmac.compare_digest(given.encode(), expected.encode())


def sign(secret: str, data: bytes) -> bytes:
    """Return the HMAC-SHA256 of the data, 32 bytes."""
    return hmac.digest(secret.encode(), data, "sha256")


def is_valid_signature(secret: str, data: bytes, signature: bytes) -> bool:
    """Return whether the signature is the one that sign() returns."""
    return hmac.compare_digest(sign(secret, data), signature)


def bearer_token(header: str) -> str:
    """Return the token of an Authorization header, or an empty string."""
    # Only blanks separate: other white space may be part of a key whose bytes
    # were decoded as Latin-1.
    scheme, _, token = header.strip(" \t").replace("\t", " ").partition(" ")
    return token.strip(" ") if scheme.lower() == "bearer" else ""
