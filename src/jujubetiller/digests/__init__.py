"""Digests of sets that are compared between nodes."""

from jujubetiller.digests._bucket_digests import BUCKETS, BucketDigests

__all__ = ["BUCKETS", "BucketDigests"]
