"""Hashes of a prompt's growing prefixes, as engines name cached ones."""

import hashlib

BLOCK_CHARS = 256
MAX_BLOCKS = 64
HASH_CHARS = 16


def of_prompt(prompt: str) -> tuple[str, ...]:
    """Returns a hash per whole block, each over all text up to its end.

    Args:
        prompt: The prompt; only its first `MAX_BLOCKS` blocks count, which
            bounds what one request costs.
    """
    whole_blocks = min(len(prompt) // BLOCK_CHARS, MAX_BLOCKS)
    hasher = hashlib.sha256()
    found = []
    for index in range(whole_blocks):
        block = prompt[index * BLOCK_CHARS:(index + 1) * BLOCK_CHARS]
        hasher.update(block.encode("utf-8", "surrogatepass"))
        found.append(hasher.hexdigest()[:HASH_CHARS])
    return tuple(found)
