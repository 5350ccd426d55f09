"""A Twisted reactor with less overhead per event."""

from jujubetiller.reactors._direct_epoll_reactor import DirectEpollReactor, install

__all__ = ["DirectEpollReactor", "install"]
