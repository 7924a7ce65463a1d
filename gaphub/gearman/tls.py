"""Owns the TLS contexts of the Gearman front, and the making of certificates to try it with.

A context is made whole from files or not at all; a key file that others may read is refused, and no key's text
ever reaches a message.
"""

from __future__ import annotations

import datetime
import ipaddress
import os
import ssl
import stat
from pathlib import Path
from typing import TYPE_CHECKING

from ..config import ConfigError, GearmanConfig

if TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ec import EllipticCurvePrivateKey
    from cryptography.x509 import Certificate, GeneralName

MINIMUM = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
VALID_DAYS = 30


def context(front: GearmanConfig) -> ssl.SSLContext | None:
    """What the front's files say; None where TLS is off; ConfigError names the key that is at fault."""
    if not front.tls_cert:
        return None
    _private(front.tls_key, "gearman.tls_key")
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = MINIMUM[front.tls_minimum]
    made.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    try:
        made.load_cert_chain(front.tls_cert, front.tls_key)
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"gearman.tls_cert: {front.tls_cert}: {_why(error)}") from None
    if front.tls_ca:
        try:
            made.load_verify_locations(front.tls_ca)
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"gearman.tls_ca: {front.tls_ca}: {_why(error)}") from None
        made.verify_mode = ssl.CERT_REQUIRED
    return made


def _private(path: str, key: str) -> None:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
    except OSError as error:
        raise ConfigError(f"{key}: {path}: {error.strerror}") from None
    if mode & 0o077:
        raise ConfigError(f"{key}: {path}: others may read it (mode {mode:04o}; make it 0600)")


def _why(error: Exception) -> str:
    reason = getattr(error, "reason", None) or getattr(error, "strerror", None)
    return str(reason or type(error).__name__)


# --- certificates to try it with -----------------------------------------------------------------------

def make_certificates(folder: Path, names: list[str], clients: list[str]) -> list[Path]:
    """A CA, a server certificate for these host names or addresses, and one for each client; the files made.

    For tests and first steps: elliptic curve P-256, valid for ``VALID_DAYS``.  FileExistsError if a file is there.
    """
    from cryptography.hazmat.primitives.asymmetric import ec

    folder.mkdir(parents=True, exist_ok=True)
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca = _certificate("gaphub test CA", ca_key, None, None, [])
    made = _write(folder, "ca", ca, ca_key)
    for name, hosts in (("server", names), *((client, []) for client in clients)):
        key = ec.generate_private_key(ec.SECP256R1())
        made += _write(folder, name, _certificate(hosts[0] if hosts else name, key, ca, ca_key, hosts), key)
    return made


def _certificate(name: str, key: EllipticCurvePrivateKey, ca: Certificate | None,
                 ca_key: EllipticCurvePrivateKey | None, hosts: list[str]) -> Certificate:
    from cryptography import x509
    from cryptography.hazmat.primitives import hashes
    from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    builder = (x509.CertificateBuilder().subject_name(subject).issuer_name(ca.subject if ca else subject)
               .public_key(key.public_key()).serial_number(x509.random_serial_number())
               .not_valid_before(now - datetime.timedelta(minutes=5))
               .not_valid_after(now + datetime.timedelta(days=VALID_DAYS))
               .add_extension(x509.BasicConstraints(ca=ca is None, path_length=0 if ca is None else None), True)
               .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False)
               .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(
                   (ca_key or key).public_key()), False)
               .add_extension(x509.KeyUsage(
                   digital_signature=ca is not None, content_commitment=False, key_encipherment=False,
                   data_encipherment=False, key_agreement=False, key_cert_sign=ca is None, crl_sign=ca is None,
                   encipher_only=False, decipher_only=False), True))
    if hosts:
        builder = builder.add_extension(x509.SubjectAlternativeName([_host(h) for h in hosts]), False)
    if ca is not None:
        usage = ExtendedKeyUsageOID.SERVER_AUTH if hosts else ExtendedKeyUsageOID.CLIENT_AUTH
        builder = builder.add_extension(x509.ExtendedKeyUsage([usage]), False)
    return builder.sign(ca_key or key, hashes.SHA256())


def _host(text: str) -> GeneralName:
    from cryptography import x509

    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


def _write(folder: Path, name: str, certificate: Certificate, key: EllipticCurvePrivateKey) -> list[Path]:
    from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat

    pem, secret = folder / f"{name}.pem", folder / f"{name}.key"
    with open(pem, "xb") as file:
        file.write(certificate.public_bytes(Encoding.PEM))
    handle = os.open(secret, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(handle, "wb") as file:
        file.write(key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()))
    return [pem, secret]
