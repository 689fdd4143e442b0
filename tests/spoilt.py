"""Input for the tests that any bytes raise the stated error or nothing: any, or a good one with changes."""

from hypothesis import strategies as st


def changed(seed, changes):
    data = bytearray(seed)
    for at, byte in changes:
        data[at % len(data)] = byte
    return bytes(data)


def inputs(seeds, longest, farthest):
    """longest: octets of what is any; farthest: where a changed octet may stand, modulo its length."""
    changes = st.lists(st.tuples(st.integers(0, farthest), st.integers(0, 255)), max_size=8)
    return st.one_of(st.binary(max_size=longest), st.builds(changed, st.sampled_from(seeds), changes))
