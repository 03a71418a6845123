"""The 32-bit names of upstreams that travel in packets."""

import xxhash

from sapphire_core.tagged_flows import data

# Part of the hash, so that another meaning of the tag gets another seed.
_TAG_SEED = 0x5A11


def tag_of(upstream_id: str) -> int:
    """Returns the tag of an upstream.

    It depends on the identity alone, so that hosts of any age of knowledge
    write the same tag, and is never `NO_TAG`.

    Args:
        upstream_id: The identity of the upstream.

    Returns:
        A number from 1 to 2**32 - 1. Two of 73,000 upstreams share a tag with
        a probability of about one half; see `UpstreamTable`.
    """
    tag = xxhash.xxh32_intdigest(upstream_id.encode(), seed=_TAG_SEED)
    if tag == data.NO_TAG:
        return 1
    return tag
