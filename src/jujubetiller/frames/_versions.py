"""The versions of the stream protocol that this program speaks."""

LOWEST_VERSION = 1
HIGHEST_VERSION = 1
