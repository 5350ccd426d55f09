"""The versions of the stream protocol that this program supports."""

LOWEST_VERSION = 3
HIGHEST_VERSION = 3
