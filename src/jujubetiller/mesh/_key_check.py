"""Which requests may run by their API keys."""

import collections
import math

import attrs
import logbook
import result

from jujubetiller import codes, published, routes, settings, teams

_LOG = logbook.Logger("jujubetiller.mesh.keys")
_Code = codes.ResultCode

MARGIN_MS = 250.0
"""Requests are refused this long before keys may be revoked: for the clocks of nodes,
and for the time between a check and the start of the call."""

REASONS = (
    "missing_key",
    "missing_key_not_current",
    "unknown_key",
    "unknown_key_not_current",
    "keys_not_current",
    "late_start",
)

LOG_REFUSED = "API keys refused: the node's copy of the store is too old"
LOG_ACCEPTED = "API keys accepted again"

_SCHEME = "bearer"
_BLANKS = " \t"


@attrs.frozen
class KeyHolder:
    """The team that sent a request, and the key by which it is known."""

    team: teams.Team
    digest: bytes


Checked = result.Result[KeyHolder | None, codes.ResultCode]
"""The holder of a request's key, None if it needs none, or why it must not run."""


class KeyCheck:
    """Decides by the configuration in force, and by the age of what is known of it.

    A key that a node knows may have been revoked, and one that it does not know may be
    new; either is decided only while the node's knowledge of the store is young enough.
    """

    def __init__(
        self,
        state_age: published.StateAge,
        team_settings: settings.TeamSettings,
        authorization: str,
    ) -> None:
        self.state_age = state_age
        self.settings = team_settings
        self.authorization = authorization
        """Name of the header with the key, in lower case."""

        self.refused: collections.Counter[str] = collections.Counter(
            dict.fromkeys(REASONS, 0)
        )
        """Refused requests by reason."""

        self.are_current = True
        """Whether known keys were accepted when that was last looked at."""

    def check(
        self,
        configuration: routes.Configuration,
        route: routes.Route,
        headers: tuple[tuple[str, str], ...],
    ) -> Checked:
        """Return who sent a request, or the code with which to refuse it."""
        if not configuration.team_table or route.is_public:
            return result.Ok(None)
        key = read_key(headers, self.authorization)
        if key is None:
            return result.Err(self._refuse_unknown("missing_key"))
        digest = teams.digest_key(key)
        return self._check_digest(configuration, digest)

    def check_again(
        self, configuration: routes.Configuration | None, holder: KeyHolder | None
    ) -> codes.ResultCode | None:
        """Return why a request that was admitted must not start any more, or None."""
        if holder is None or configuration is None or not configuration.team_table:
            return None
        checked = self._check_digest(configuration, holder.digest)
        return checked.err_value if isinstance(checked, result.Err) else None

    def start_within_ms(self, holder: KeyHolder | None) -> float | None:
        """Return within which time a call has to start; None if there is no bound."""
        if holder is None or not self.settings.has_strict_revocation:
            return None
        return max(0.0, self._longest_age_ms() - self.state_age.age_ms())

    def refuse_late_start(self) -> codes.ResultCode:
        """Count a call that did not start in time and return its code."""
        self.refused["late_start"] += 1
        return _Code.KEYS_NOT_CURRENT

    def log_refusal(
        self, request_id: str, route: str, code: codes.ResultCode, version: int
    ) -> None:
        """Log that a request was refused; the key is in no line."""
        _LOG.info(
            "request refused by its key: {}",
            code.name,
            extra={
                "request": request_id,
                "route": route,
                "code": code.value,
                "age_ms": describe_age(self.state_age.age_ms()),
                "version": version,
            },
        )

    def log_age_change(self, configuration: routes.Configuration | None) -> None:
        """Log when requests with known keys start to be refused, and when they are
        accepted again.
        """
        if configuration is None or not configuration.team_table:
            return
        age_ms = self.state_age.age_ms()
        are_current = not self._is_too_old(age_ms)
        if are_current == self.are_current:
            return
        self.are_current = are_current
        _LOG.warning(
            LOG_ACCEPTED if are_current else LOG_REFUSED,
            extra={
                "age_ms": describe_age(age_ms),
                "longest_age_ms": self._longest_age_ms(),
                "version": configuration.version,
            },
        )

    def _check_digest(
        self, configuration: routes.Configuration, digest: bytes
    ) -> Checked:
        team = configuration.team_table.find_digest(digest)
        if team is None:
            return result.Err(self._refuse_unknown("unknown_key"))
        if self._is_too_old(self.state_age.age_ms()):
            self.refused["keys_not_current"] += 1
            self.log_age_change(configuration)
            return result.Err(_Code.KEYS_NOT_CURRENT)
        return result.Ok(KeyHolder(team, digest))

    def _refuse_unknown(self, reason: str) -> codes.ResultCode:
        longest_ms = published.CLOCK_RATE_MARGIN * self.settings.configuration_ms
        if self.state_age.age_ms() <= longest_ms:
            self.refused[reason] += 1
            return _Code.UNKNOWN_API_KEY
        self.refused[f"{reason}_not_current"] += 1
        return _Code.KEYS_NOT_CURRENT

    def _is_too_old(self, age_ms: float) -> bool:
        """Return whether known keys are to be refused at that age.

        Without strict revocation they are accepted although nothing is known of it.
        """
        is_strict = self.settings.has_strict_revocation
        return is_strict and age_ms >= self._longest_age_ms()

    def _longest_age_ms(self) -> float:
        if not self.settings.has_strict_revocation:
            return math.inf
        return self.settings.revocation_ms - MARGIN_MS


def read_key(headers: tuple[tuple[str, str], ...], name: str) -> str | None:
    """Return the key in the header ``name``, or None.

    Several such headers hold no key: each receiver might take another one of them.
    """
    values = [value for header, value in headers if header.lower() == name]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(_BLANKS).partition(" ")
    if scheme.lower() != _SCHEME:
        return None
    # Listeners decode headers as Latin-1; keys are UTF-8.
    octets = key.strip(_BLANKS).encode("latin-1", "replace")
    return octets.decode("utf-8", "surrogateescape") or None


def describe_age(age_ms: float) -> int | None:
    """Return an age for logs and metrics; None if nothing is known of the store."""
    return round(age_ms) if age_ms < math.inf else None
