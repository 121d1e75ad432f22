"""Keys of rows for names that callers and operators choose.

The store refuses a transaction that names an invalid key, with all of its writes. A
name that may not be a valid key is replaced by its digest.
"""

import hashlib

MAX_KEY_BYTES = 199  # the store allows 200; the end of a range takes one more
DIGEST_PREFIX = "sha256-"


def key_of_name(name: str) -> str:
    """Return the key for ``name``: the name itself, or a digest of it."""
    return name if _is_valid_key(name) else _digest(name)


def is_digest(key: str) -> bool:
    """Return whether ``key`` does not show the name that it stands for."""
    return key.startswith(DIGEST_PREFIX)


def _is_valid_key(name: str) -> bool:
    """Return whether a name can be stored as a key, and is no digest itself.

    Control characters and lone surrogates are not printable.
    """
    return (
        bool(name)
        and name.isprintable()
        and len(name.encode()) <= MAX_KEY_BYTES
        and not is_digest(name)
    )


def _digest(name: str) -> str:
    encoded = name.encode(errors="surrogatepass")
    return DIGEST_PREFIX + hashlib.sha256(encoded).hexdigest()
