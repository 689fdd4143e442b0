"""The hash function BLAKE2b (RFC 7693) without OpenSSL.

hashlib offers the same function, but it also loads OpenSSL, which adds 4 MB to the memory of each dispatcher.
"""

try:
    from _blake2 import blake2b
except ImportError:  # a Python whose hashlib is built in another way
    from hashlib import blake2b

__all__ = ["blake2b"]
