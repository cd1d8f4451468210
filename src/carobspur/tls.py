"""Builds TLS contexts from the settings."""

from __future__ import annotations

import ssl

from .errors import SettingsError
from .settings import TlsSettings


def public_server_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the server context for callers and operators; ``None`` for plain HTTP.

    Raises:
        SettingsError: A certificate or key file cannot be loaded.
    """
    if not settings.certificate:
        return None
    return _context_with_certificate(ssl.PROTOCOL_TLS_SERVER, settings)


def peer_server_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the server context for peer processes; ``None`` for plain TCP.

    Clients must present a certificate of the system's own authority.

    Raises:
        SettingsError: A certificate, key or CA file cannot be loaded.
    """
    if not settings.ca:
        return None
    context = _context_with_certificate(ssl.PROTOCOL_TLS_SERVER, settings)
    context.verify_mode = ssl.CERT_REQUIRED
    _load_ca(context, settings.ca)
    return context


def peer_client_context(settings: TlsSettings) -> ssl.SSLContext | None:
    """Return the client context for peer processes; ``None`` for plain TCP.

    The server's certificate must contain the IP address that is connected to.

    Raises:
        SettingsError: A certificate, key or CA file cannot be loaded.
    """
    if not settings.ca:
        return None
    context = _context_with_certificate(ssl.PROTOCOL_TLS_CLIENT, settings)
    _load_ca(context, settings.ca)
    return context


def check_tls(settings: TlsSettings) -> None:
    """Check that all TLS files of the settings can be loaded.

    Raises:
        SettingsError: One of them cannot.
    """
    public_server_context(settings)
    peer_server_context(settings)


def _context_with_certificate(protocol: int, settings: TlsSettings) -> ssl.SSLContext:
    if not settings.certificate or not settings.key:
        raise SettingsError("[tls] certificate and key are needed together")
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f"[tls] certificate = {settings.certificate}, key = {settings.key}: "
            f"not a certificate with its key: {error}"
        ) from error
    return context


def _load_ca(context: ssl.SSLContext, ca: str) -> None:
    try:
        context.load_verify_locations(ca)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f"[tls] ca = {ca}: no certificates in it: {error}"
        ) from error
