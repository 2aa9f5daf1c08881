"""Named experiments that measure the policies."""
