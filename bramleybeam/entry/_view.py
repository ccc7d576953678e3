"""What the HTTP applications of an entry read of it."""

from typing import Protocol

from bramleybeam.claims import ClaimRouter
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.entry._account import Account
from bramleybeam.entry._connections import Connections
from bramleybeam.entry._deliver import Deliver
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._pipeline import Pipeline
from bramleybeam.entry._planner import Planner
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.links import LinkIdentity
from bramleybeam.settings import EntrySettings
from bramleybeam.telemetry import Metrics


class EntryView(Protocol):
    """The parts of a running entry."""

    settings: EntrySettings
    identity: LinkIdentity
    keeper: ConfigurationKeeper
    directory: Directory
    connections: Connections
    pipeline: Pipeline
    deliver: Deliver
    planner: Planner
    claims: ClaimRouter
    account: Account
    metrics: Metrics
    store: HttpKeyValue

    @property
    def is_ready(self) -> bool:
        """Whether requests can be taken."""
