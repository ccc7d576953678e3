"""What gateways tell each other of requests that may crash replicas."""

from collections.abc import Mapping, Sequence

import attrs

from bramleybeam.decisions import Suspect


@attrs.frozen
class SuspectCrash:
    """A crash of a replica, for other gateways.

    ``name`` identifies the crash, which was ``age_s`` ago. The suspect had
    been sent ``in_flight_s`` before.
    """

    name: str
    age_s: float
    in_flight_s: float


@attrs.frozen
class SuspectReport:
    """Crashes by suspect, and the names of those that it has not caused."""

    crashes: Mapping[str, Sequence[SuspectCrash]] = attrs.field(factory=dict)
    cleared: Mapping[str, Sequence[str]] = attrs.field(factory=dict)

    def __bool__(self) -> bool:
        """Whether there is anything to report."""
        return bool(self.crashes or self.cleared)


def make_report(suspects: Mapping[str, Suspect], now: float) -> SuspectReport:
    """Return what is known of suspects at ``now`` seconds."""
    crashes = {
        key: [
            SuspectCrash(crash.name, now - crash.at, crash.at - crash.sent_at)
            for crash in suspect.crashes.values()
        ]
        for key, suspect in suspects.items()
        if suspect.crashes
    }
    cleared = {
        key: sorted(suspect.cleared)
        for key, suspect in suspects.items()
        if suspect.cleared
    }
    return SuspectReport(crashes, cleared)
