"""Tags: 32-bit hashes of upstream identities, carried in packets."""

import xxhash

from sapphire_core.tagged_flows import data

# If the meaning of a tag changes, the seed must change with it.
_TAG_SEED = 0x5A11


def tag_of(upstream_id: str) -> int:
    """Returns the tag of an upstream.

    The tag depends on the identity alone, so all hosts write the same tag
    whatever they know of the upstream. It is never `NO_TAG`.

    Args:
        upstream_id: The identity of the upstream.

    Returns:
        A number from 1 to 2**32 - 1. Among 73,000 upstreams, two share a tag
        with a probability of about one half; see `UpstreamTable`.
    """
    tag = xxhash.xxh32_intdigest(upstream_id.encode(), seed=_TAG_SEED)
    if tag == data.NO_TAG:
        return 1
    return tag
