"""TLS contexts whose keys are reloaded when their files change."""

import ssl
from pathlib import Path
from typing import Final

import structlog

from bramleybeam.settings import TlsSettings

# Period of the check for changed key files.
KEY_CHECK_PERIOD_S: Final = 10.0
_log = structlog.get_logger('trust')


class TrustStore:
    """Creates the TLS contexts of one process and reloads their keys.

    With an authority, both sides of a connection must present a certificate
    signed by it, and the client checks that the certificate is for the numeric
    address that it connected to. Renewed keys are used from the next handshake
    on. If a pair cannot be read, an error is logged and the previous pair
    remains in use.
    """

    def __init__(self, settings: TlsSettings) -> None:
        """Store the paths of the files; TLS is off when all are empty."""
        self._settings = settings
        self._contexts: list[ssl.SSLContext] = []
        self._key_mtimes_ns = self._read_key_mtimes_ns()

    @property
    def enabled(self) -> bool:
        """Whether TLS is configured."""
        return bool(self._settings.certificate)

    def make_server_context(self) -> ssl.SSLContext | None:
        """Return a context for a listening port; ``None`` when TLS is off."""
        if not self.enabled:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        if self._settings.authority:
            context.verify_mode = ssl.CERT_REQUIRED
            context.load_verify_locations(self._settings.authority)
        return self._register(context)

    def make_client_context(self) -> ssl.SSLContext | None:
        """Return a context to connect to peers; ``None`` when TLS is off."""
        if not self.enabled:
            return None
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(self._settings.authority)
        return self._register(context)

    async def refresh(self) -> None:
        """Reload the keys if their files have changed."""
        key_mtimes_ns = self._read_key_mtimes_ns()
        if key_mtimes_ns == self._key_mtimes_ns:
            return
        self._key_mtimes_ns = key_mtimes_ns
        try:
            for context in self._contexts:
                self._load_keys(context)
        except (OSError, ssl.SSLError) as error:
            _log.error('keys_not_reloaded', error=str(error))
            return
        _log.info('keys_reloaded', certificate=self._settings.certificate)

    def _register(self, context: ssl.SSLContext) -> ssl.SSLContext:
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._load_keys(context)
        self._contexts.append(context)
        return context

    def _load_keys(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(
            self._settings.certificate,
            self._settings.private_key,
        )

    def _read_key_mtimes_ns(self) -> tuple[int, ...]:
        paths = (self._settings.certificate, self._settings.private_key)
        return tuple(
            Path(path).stat().st_mtime_ns if Path(path).is_file() else 0
            for path in paths
        )
