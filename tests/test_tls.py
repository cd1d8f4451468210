"""TLS for callers and operators, and between processes of the system."""

from __future__ import annotations

import asyncio
import contextlib
import datetime
import io
import ipaddress
import os
import ssl
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from unittest import mock

import msgspec
import tornado.httpclient
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from carobspur import control, entry, scheduler
from carobspur.cli import run
from carobspur.daemon import http_server
from carobspur.errors import CarobspurError, SettingsError
from carobspur.inventory import encode_inventory
from carobspur.peer_client import peer_client
from carobspur.peer_server import PeerServer
from carobspur.peers import DRAIN, messages
from carobspur.plugin_registry import load_plugins
from carobspur.settings import Settings, TlsSettings
from carobspur.tls import check_tls, peer_client_context, peer_server_context
from carobspur_standins.app import application
from carobspur_standins.live_list import MemoryLiveList
from carobspur_standins.objects import MemoryObjects
from carobspur_standins.table import MemoryTable

from . import builders
from .ports import HOST, free_port


class Authority:
    """A test certificate authority that writes its files into a directory."""

    def __init__(self, directory: Path, name: str) -> None:
        self._directory = directory
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._subject = subject
        basic = x509.BasicConstraints(ca=True, path_length=0)
        certificate = self._sign(subject, self._key, basic)
        self.file = str(self._write("ca.pem", _pem(certificate)))

    def instance(self, address: str = HOST) -> TlsSettings:
        """Return TLS settings with a certificate for this IP address."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, address)])
        name = x509.IPAddress(ipaddress.ip_address(address))
        certificate = self._sign(subject, key, x509.SubjectAlternativeName([name]))
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return TlsSettings(
            str(self._write(f"{address}.pem", _pem(certificate))),
            str(self._write(f"{address}.key", private)),
            self.file,
        )

    def _sign(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        extension: x509.ExtensionType,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        hour = datetime.timedelta(hours=1)
        builder = x509.CertificateBuilder(
            issuer_name=self._subject,
            subject_name=subject,
            public_key=key.public_key(),
            serial_number=x509.random_serial_number(),
            not_valid_before=now - hour,
            not_valid_after=now + hour,
        ).add_extension(extension, critical=False)
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name: str, content: bytes) -> Path:
        path = self._directory / f"{self._name}-{name}"
        path.write_bytes(content)
        return path


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


class TlsTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self._directory = Path(directory.name)
        self._authority = Authority(self._directory, "ours")

    def call(self, server_tls: TlsSettings, client: ssl.SSLContext | None) -> str:
        """Call a peer server; return ``ok`` or the cause of the error."""

        async def scenario() -> str:
            server = PeerServer(ssl_options=peer_server_context(server_tls))

            async def _drain(request: object, emit: object) -> object:
                return messages.Empty()

            server.register(DRAIN, _drain)
            server.listen(0, HOST)
            port = next(iter(server._sockets.values())).getsockname()[1]
            try:
                async with peer_client(ssl_options=client) as peers:
                    request = messages.Drain(leaving=True)
                    await peers.call(HOST, port, DRAIN, request, timeout_s=2.0)
                return "ok"
            except CarobspurError as error:
                return error.cause
            finally:
                server.stop()
                server.close_connections()

        return asyncio.run(scenario())

    def test_only_our_own_certificates_are_accepted(self) -> None:
        ours = self._authority.instance()
        theirs = Authority(self._directory, "theirs").instance()
        wrong_address = self._authority.instance("10.9.9.9")
        bare = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        bare.load_verify_locations(self._authority.file)
        self.assertEqual(self.call(ours, peer_client_context(ours)), "ok")
        refused = {"peer_unreachable", "peer_disconnected"}
        for server, client in (
            (ours, None),
            (ours, bare),
            (ours, peer_client_context(theirs)),
            (theirs, peer_client_context(ours)),
            (wrong_address, peer_client_context(ours)),
        ):
            self.assertIn(self.call(server, client), refused)

    def test_wrong_files_are_named(self) -> None:
        good = self._authority.instance()
        junk = self._directory / "junk.pem"
        junk.write_text("junk")
        for tls, named in (
            (TlsSettings(good.certificate, str(junk), good.ca), "junk.pem"),
            (TlsSettings(good.certificate, good.key, str(junk)), "junk.pem"),
            (TlsSettings(good.certificate, "", ""), "[tls] certificate and key"),
            (TlsSettings("", "", good.ca), "[tls] certificate and key"),
        ):
            with self.assertRaises(SettingsError) as raised:
                check_tls(tls)
            self.assertIn(named, raised.exception.message)

    def test_whole_path_over_tls(self) -> None:
        asyncio.run(asyncio.wait_for(self._whole_path(), 30))

    async def _whole_path(self) -> None:
        load_plugins()
        async with AsyncExitStack() as stack:
            platform = []
            for standin in (MemoryTable(), MemoryObjects(), MemoryLiveList()):
                server = http_server(application(standin), HOST, 0)
                platform.append(await stack.enter_async_context(server))
            settings = self._settings(platform)
            stopping = asyncio.Event()
            daemons = [
                asyncio.ensure_future(daemon.serve(settings, stopping))
                for daemon in (control, scheduler, entry)
            ]
            try:
                await self._use(settings)
            finally:
                stopping.set()
                await asyncio.gather(*daemons)

    def _settings(self, platform: list[int]) -> Settings:
        urls = [f"http://{HOST}:{port}" for port in platform]
        ports = [free_port() for _ in range(5)]
        tls = self._authority.instance()
        return Settings.parse(
            f"""
            [instance]
            id = instance-1
            data_centre = dc-1
            host = {HOST}
            [platform]
            table_url = {urls[0]}
            objects_url = {urls[1]}
            live_list_url = {urls[2]}
            [entry]
            port = {ports[0]}
            [scheduler]
            port = {ports[1]}
            metrics_port = {ports[2]}
            lease_s = 1
            shards = 1
            [control]
            port = {ports[3]}
            peer_port = {ports[4]}
            poll_s = 0.1
            platform_key_sha256 = {builders.digest_of(builders.PLATFORM_SECRET)}
            [tls]
            certificate = {tls.certificate}
            key = {tls.key}
            ca = {tls.ca}
            """
        )

    async def _use(self, settings: Settings) -> None:
        operators = f"https://{HOST}:{settings.control.port}"
        callers = f"https://{HOST}:{settings.entry.port}"
        path = f"/v1/organisations/{builders.ORGANISATION}/inventory"
        await self._ask(
            "PUT",
            operators + path,
            builders.PLATFORM_SECRET,
            encode_inventory(builders.an_inventory()),
            {"If-Match": '"0"', "Carobspur-Change": "c1"},
        )
        started = await self._ask(
            "POST",
            callers + "/v1/programs",
            builders.CALLER_SECRET,
            b'{"agent": "quote"}',
            {"Idempotency-Key": "k1", "Carobspur-User": "clerk-1"},
        )
        self.assertIn("program", msgspec.json.decode(started))
        variables = {
            "CAROBSPUR_CONTROL": operators,
            "CAROBSPUR_ORGANISATION": builders.ORGANISATION,
            "CAROBSPUR_KEY": builders.OPERATOR_SECRET,
            "CAROBSPUR_CA": self._authority.file,
        }
        shown = io.StringIO()
        with mock.patch.dict(os.environ, variables), contextlib.redirect_stdout(shown):
            code = await asyncio.to_thread(run, ["status"])
        self.assertEqual(code, 0)
        self.assertIn("instance-1  dc-1         ready", shown.getvalue())

    async def _ask(
        self, method: str, url: str, secret: str, body: bytes, headers: dict[str, str]
    ) -> bytes:
        """Repeat a request until it succeeds; the daemons are still starting."""
        client = tornado.httpclient.AsyncHTTPClient()
        sent = {"Authorization": f"Bearer {secret}", **headers}
        while True:
            try:
                answer = await client.fetch(
                    url,
                    method=method,
                    body=body,
                    headers=sent,
                    ca_certs=self._authority.file,
                )
                return answer.body
            except (OSError, tornado.httpclient.HTTPError):
                await asyncio.sleep(0.05)
