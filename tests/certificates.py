"""Test certificates, signed by a certificate authority made for the test."""

import datetime
import ipaddress
from pathlib import Path

import attrs
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from bramleybeam.settings import TlsSettings

_ONE_DAY = datetime.timedelta(days=1)


@attrs.frozen
class Authority:
    """A certificate authority: its private key and its certificate."""

    key: ec.EllipticCurvePrivateKey
    certificate: x509.Certificate


def make_authority() -> Authority:
    """Return a new self-signed certificate authority."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = _make_name('authority')
    certificate = (
        _make_builder(name, name, key)
        .add_extension(
            x509.BasicConstraints(ca=True, path_length=0), critical=True
        )
        .sign(key, hashes.SHA256())
    )
    return Authority(key, certificate)


def write_key_pair(
    folder: Path, authority: Authority, name: str
) -> TlsSettings:
    """Write a certificate for 127.0.0.1 and its private key.

    Returns TLS settings with the paths of the three PEM files in ``folder``;
    the third has the certificate of the authority.
    """
    key = ec.generate_private_key(ec.SECP256R1())
    address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
    certificate = (
        _make_builder(_make_name(name), authority.certificate.subject, key)
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(authority.key, hashes.SHA256())
    )
    paths = [folder / f'{name}.{part}' for part in ('crt', 'key', 'ca')]
    pem = serialization.Encoding.PEM
    paths[0].write_bytes(certificate.public_bytes(pem))
    paths[1].write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        ),
    )
    paths[2].write_bytes(authority.certificate.public_bytes(pem))
    return TlsSettings(*map(str, paths))


def _make_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _make_builder(
    subject: x509.Name,
    issuer: x509.Name,
    key: ec.EllipticCurvePrivateKey,
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - _ONE_DAY)
        .not_valid_after(now + _ONE_DAY)
    )
