"""The rule for which node may report that a key did not run."""

import attrs


@attrs.define
class KeyUse:
    """Records how one request of an entry node uses a key.

    Only two nodes may report that the key did not run: its owner, by sealing the
    key, and the node that minted it within this request and never sent it.
    """

    minted_here: bool
    """Whether this node minted the key in this request and disclosed it to nobody."""

    sent: bool = False
    """Whether a call under the key may have been written to a transport."""

    def may_certify_not_run(self) -> bool:
        """Return whether no other copy of the key can exist.

        If not, the owner must seal the key before the request may end as not
        run.
        """
        return self.minted_here and not self.sent
