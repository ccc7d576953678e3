"""Settings of each process, read from TOML and checked before any port opens."""

from bramleybeam.settings._load import load_settings
from bramleybeam.settings._settings import (
    AgentSettings,
    ClientSettings,
    EntrySettings,
    TlsSettings,
)

__all__ = [
    'AgentSettings',
    'ClientSettings',
    'EntrySettings',
    'TlsSettings',
    'load_settings',
]
