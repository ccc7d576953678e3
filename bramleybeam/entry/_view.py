"""The parts of an entry that its HTTP applications use."""

from typing import Protocol

from bramleybeam.claims import ClaimRouter
from bramleybeam.documents import ConfigurationKeeper
from bramleybeam.entry._connections import Connections
from bramleybeam.entry._directory import Directory
from bramleybeam.entry._dispatcher import Dispatcher
from bramleybeam.entry._pipeline import Pipeline
from bramleybeam.entry._planner import Planner
from bramleybeam.entry._statistics import RequestStatistics
from bramleybeam.keyvalue.http import HttpKeyValue
from bramleybeam.links import LinkIdentity
from bramleybeam.settings import EntrySettings
from bramleybeam.telemetry import Metrics
from bramleybeam.web import CallerLimits


class EntryView(Protocol):
    """The parts of a running entry, as its HTTP applications see them."""

    settings: EntrySettings
    identity: LinkIdentity
    keeper: ConfigurationKeeper
    directory: Directory
    connections: Connections
    pipeline: Pipeline
    dispatcher: Dispatcher
    planner: Planner
    claims: ClaimRouter
    statistics: RequestStatistics
    metrics: Metrics
    caller_limits: CallerLimits
    store: HttpKeyValue

    @property
    def is_ready(self) -> bool:
        """Whether the entry accepts requests from the balancer."""
