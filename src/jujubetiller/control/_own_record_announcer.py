"""Announcement of this process in the membership table."""

import attrs

from jujubetiller import clock, membership, settings


class OwnRecordAnnouncer:
    """Keeps this process's record in the table current.

    Its incarnation is raised above those of earlier processes of the instance.
    """

    def __init__(
        self,
        time_source: clock.Clock,
        control_settings: settings.ControlSettings,
        table: membership.MembershipTable,
        own_record: membership.InstanceRecord,
    ) -> None:
        self.clock = time_source
        self.table = table
        self.incarnation = membership.OwnIncarnation(
            time_source, control_settings, own_record.boot_id
        )
        self.record = attrs.evolve(own_record, incarnation=self.incarnation.value)
        self.next_refresh_ms = time_source.now_ms()

    def announce(
        self, draining: bool = False, leaving: bool = False
    ) -> list[membership.InstanceRecord]:
        """Merge the own record into the table and return it if it changed.

        Draining and leaving cannot be revoked by the same process.
        """
        self.record = attrs.evolve(
            self.record,
            draining=self.record.draining or draining,
            leaving=self.record.leaving or leaving,
        )
        merged = self.table.merge(self.record)
        return [] if merged is None else [merged]

    def reannounce_if_needed(self) -> list[membership.InstanceRecord]:
        """Raise the incarnation or refresh the record if the table requires it.

        The incarnation is raised above that of another process in the table; the
        record is refreshed while the published list lacks it. Returns the own record
        if it changed.
        """
        before = self.record
        held = self.table.records.get(before.instance, before)
        if held.process > before.process and self.incarnation.raise_above(
            *held.process
        ):
            self.record = attrs.evolve(
                self.record, incarnation=self.incarnation.value, refresh=0
            )
        now_ms = self.clock.now_ms()
        if held.is_absent and now_ms >= self.next_refresh_ms:
            self.next_refresh_ms = now_ms + membership.REFRESH_MS
            self.record = attrs.evolve(self.record, refresh=self.record.refresh + 1)
        return [] if self.record is before else self.announce()
