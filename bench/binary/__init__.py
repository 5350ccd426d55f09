"""Builds the program as one file and compares the packaging candidates."""
