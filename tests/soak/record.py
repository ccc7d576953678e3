"""What callers saw, what was done to the site, and when."""

from collections import Counter

import attrs

# How long after trouble a promise with a bound in time doesn't bind.
CONTACT_S = 4.0
# Settings of the stand-ins' site, in seconds.
DRAIN_S = 2.0
CONFIGURATION_S = 2.0
STORE = 'store'


@attrs.define(eq=False)
class Asked:
    """One request of a caller; moments are in loop seconds.

    ``process`` is the gateway process that took it. ``left_at`` is set where
    the caller closed its connection before the answer was whole.
    """

    request_id: str
    path: str
    gateway: int
    process: object = attrs.field(repr=False)
    sent_at: float
    ended_at: float = 0
    status: int = 0
    is_sealed: bool = False
    is_whole: bool = False
    body: bytes = b''
    left_at: float = 0

    @property
    def route(self) -> str:
        """The first part of the path."""
        return self.path.split('/')[1]


@attrs.frozen
class Trouble:
    """Something was wrong with a gateway, or with the store, for a time."""

    kind: str
    where: int | str
    began_at: float
    ended_at: float


@attrs.define
class Version:
    """A configuration as it was written; ``targets`` maps routes to services."""

    number: int
    written_at: float
    targets: dict[str, str]


@attrs.define
class Leaving:
    """A replica that said that it leaves."""

    name: str
    written_at: float


@attrs.define
class Record:
    """Everything that the checks are made from."""

    asked: list[Asked] = attrs.field(factory=list)
    troubles: list[Trouble] = attrs.field(factory=list)
    versions: list[Version] = attrs.field(factory=list)
    leaving: list[Leaving] = attrs.field(factory=list)
    replicas: list = attrs.field(factory=list)
    faults: Counter = attrs.field(factory=Counter)
    stopped: set = attrs.field(factory=set)
    violations: list[str] = attrs.field(factory=list)
    calm_from: float = 0

    def note_trouble(self, kind, where, began_at, ended_at) -> None:
        """Keep a time of trouble."""
        self.troubles.append(Trouble(kind, where, began_at, ended_at))

    def is_in_touch(self, gateway: int, start: float, end: float) -> bool:
        """Whether promises with a bound bound a gateway all the time."""
        return not any(
            trouble.where in {gateway, STORE}
            and trouble.began_at <= end
            and trouble.ended_at >= start - CONTACT_S
            for trouble in self.troubles
        )

    def troubles_of(self, gateway: int, start: float, end: float) -> set[str]:
        """Return the kinds of trouble of a gateway in a time."""
        return {
            trouble.kind
            for trouble in self.troubles
            if trouble.where == gateway
            and trouble.began_at <= end
            and trouble.ended_at >= start
        }

    def versions_for(self, sent_at: float, ended_at: float) -> list[Version]:
        """Return the configurations that a request may be handled by."""
        known = [
            version
            for version in self.versions
            if version.written_at <= sent_at - CONFIGURATION_S
        ]
        newer = [
            version
            for version in self.versions
            if sent_at - CONFIGURATION_S < version.written_at <= ended_at
        ]
        return known[-1:] + newer
