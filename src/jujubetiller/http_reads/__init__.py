"""HTTP reads with limits on time and size, and with typed failures."""

from jujubetiller.http_reads._backoff import Backoff
from jujubetiller.http_reads._http_reader import HttpAnswer, HttpReader
from jujubetiller.http_reads._read_problem import ReadProblem

__all__ = ["Backoff", "HttpAnswer", "HttpReader", "ReadProblem"]
