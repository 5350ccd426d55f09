"""The versions of the stream protocol that this program supports."""

LOWEST_VERSION = 1
HIGHEST_VERSION = 1
