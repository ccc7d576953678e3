"""TLS contexts whose keys are read again when their files change."""

import ssl
from pathlib import Path
from typing import Final

import structlog

from bramleybeam.settings import TlsSettings

KEY_PERIOD_S: Final = 10.0
_log = structlog.get_logger('trust')


class TrustStore:
    """Makes the contexts of one process and keeps their keys fresh.

    With an authority both sides of a connection must show a certificate that
    it signed, for the numeric address that was connected to. Keys that have
    been renewed are used from the next handshake on; a pair that cannot be
    read is logged and the last good one stays.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Store the files; all empty means that TLS is off."""
        self._settings = settings
        self._contexts: list[ssl.SSLContext] = []
        self._stamp = self._read_stamp()

    @property
    def enabled(self) -> bool:
        """Whether TLS is set."""
        return bool(self._settings.certificate)

    def make_server(self) -> ssl.SSLContext | None:
        """Make the context of a listening port; ``None`` when TLS is off."""
        if not self.enabled:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if self._settings.authority:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(self._settings.authority)
        return self._keep(context)

    def make_client(self) -> ssl.SSLContext | None:
        """Make the context of connections to peers; ``None`` when off."""
        if not self.enabled:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(self._settings.authority)
        return self._keep(context)

    async def refresh(self) -> None:
        """Read the keys again if their files have changed."""
        stamp = self._read_stamp()
        if stamp == self._stamp:
            return
        self._stamp = stamp
        try:
            for context in self._contexts:
                self._load(context)
        except (OSError, ssl.SSLError) as error:
            _log.error('keys_not_reloaded', error=str(error))
            return
        _log.info('keys_reloaded', certificate=self._settings.certificate)

    def _keep(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load(context)
        self._contexts.append(context)
        return context

    def _load(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(
            self._settings.certificate,
            self._settings.private_key,
        )

    def _read_stamp(self) -> tuple[int, ...]:
        paths = (self._settings.certificate, self._settings.private_key)
        return tuple(
            Path(path).stat().st_mtime_ns if Path(path).is_file() else 0
            for path in paths
        )
