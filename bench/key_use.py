"""Who may certify that a key did not run."""

import attrs


@attrs.define
class KeyUse:
    """How one request of an entry node uses a key.

    Only the owner, by sealing, or the node that minted the key within this
    request and never sent it may say that the key did not run.
    """

    minted_here: bool
    """Whether this node minted the key within this request and told nobody."""

    sent: bool = False
    """Whether a call under the key may have been written to a transport."""

    def may_certify_not_run(self) -> bool:
        """Return whether no other copy of the key can exist.

        Otherwise, the owner must seal the key before the request may end as not
        run.
        """
        return self.minted_here and not self.sent
