"""Contents of versions, the later of which revoke a key."""

import functools
import json
import sys
import zlib

from features.harness import platform as platform_lib
from jasperweir.components.deployment import index as index_lib

# The first version without the key.
REVOKING_VERSION = 12
REVOKED_KEY = "key-that-is-revoked"


def make_content(version, variant=0):
    """Return the content of a version, as the log holds it.

    Args:
        version: Number of the version.
        variant: Contents with different numbers differ.
    """
    keys = [platform_lib.KEY, f"key-of-variant-{variant}"]
    if version < REVOKING_VERSION:
        keys.append(REVOKED_KEY)
    doc = platform_lib.document(
        version, tenants=[{"name": "one", "apiKeys": keys}]
    )
    return zlib.compress(json.dumps(doc).encode(), level=1)


@functools.cache
def accepts_revoked_key(data):
    """Return whether an entry with a content accepts the key."""
    sys.path.insert(0, str(platform_lib.ROOT / "platform"))
    from adapter import configuration

    deployment = configuration.decode(zlib.decompress(data))
    index = index_lib.DeploymentIndex(deployment=deployment)
    return index.find_customer(REVOKED_KEY) is not None
