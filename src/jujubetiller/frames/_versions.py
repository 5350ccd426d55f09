"""The versions of the stream protocol that this program speaks."""

LOWEST_VERSION = 2
HIGHEST_VERSION = 2
