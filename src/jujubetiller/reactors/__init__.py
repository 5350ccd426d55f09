"""Reactors of Twisted with less work for each event."""

from jujubetiller.reactors._direct_epoll_reactor import DirectEpollReactor, install

__all__ = ["DirectEpollReactor", "install"]
