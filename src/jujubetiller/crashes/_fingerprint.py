"""The hash by which copies of one request are recognised."""

import xxhash

from jujubetiller import calls, retries


def compute_request_fingerprint(
    request: calls.CallRequest, identity: tuple[str, ...]
) -> int:
    """Return a 64-bit hash of what makes two requests the same.

    That is the service, the method, the path with its query, the body and ``identity``:
    the values of the headers that say who sends it and to which host. All other headers
    may differ from copy to copy, as the request's id does.
    """
    base = retries.compute_fingerprint(
        request.service, request.method, request.path, request.body
    )
    return int(xxhash.xxh3_64_intdigest("\0".join(identity).encode(), seed=base))
