"""The incarnation of this process."""

from jujubetiller import clock, settings


class OwnIncarnation:
    """Chooses an incarnation above those of all known earlier processes.

    Nodes have no persistent storage, so a process starts at 1 and learns the
    incarnations of earlier processes from its peers. Two processes that run under
    one name would raise their incarnations in turn for ever; the pause limits how
    often that happens.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        control_settings: settings.ControlSettings,
        boot_id: str,
    ) -> None:
        self.clock = time_source
        self.pause_ms = float(control_settings.digest_ms)
        self.boot_id = boot_id
        self.value = 1
        self.raised_count = 0
        self.next_raise_ms = time_source.now_ms()

    def raise_above(self, incarnation: int, boot_id: str) -> bool:
        """Raise the own incarnation above another process's; return whether it rose.

        It does not rise if it is above already, or within the pause after a rise.
        """
        if boot_id == self.boot_id or (incarnation, boot_id) < (
            self.value,
            self.boot_id,
        ):
            return False
        now_ms = self.clock.now_ms()
        if now_ms < self.next_raise_ms:
            return False
        self.next_raise_ms = now_ms + self.pause_ms
        self.value = incarnation + 1
        self.raised_count += 1
        return True
