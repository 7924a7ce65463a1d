"""TLS contexts of the Gearman front end, and the generation of certificates to try it with.

A context is built completely or not at all.  A key file that others may read is rejected, and the text of a key
never appears in a message.
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

MINIMUM_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
CERTIFICATE_DAYS = 30


def server_context(config: GearmanConfig) -> ssl.SSLContext | None:
    """The context for the configured files; None if TLS is off.  ConfigError names the faulty setting."""
    if not config.tls_cert:
        return None
    _check_private(config.tls_key, "gearman.tls_key")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = MINIMUM_VERSIONS[config.tls_minimum]
    context.options |= ssl.OP_NO_COMPRESSION | ssl.OP_NO_RENEGOTIATION
    try:
        context.load_cert_chain(config.tls_cert, config.tls_key)
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"gearman.tls_cert: {config.tls_cert}: {_error_reason(error)}") from None
    if config.tls_ca:
        try:
            context.load_verify_locations(config.tls_ca)
        except (OSError, ssl.SSLError) as error:
            raise ConfigError(f"gearman.tls_ca: {config.tls_ca}: {_error_reason(error)}") from None
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def _check_private(path: str, key: str) -> None:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
    except OSError as error:
        raise ConfigError(f"{key}: {path}: {error.strerror}") from None
    if mode & 0o077:
        raise ConfigError(f"{key}: {path}: others may read it (mode {mode:04o}; make it 0600)")


def _error_reason(error: Exception) -> str:
    reason = getattr(error, "reason", None) or getattr(error, "strerror", None)
    return str(reason or type(error).__name__)


# --- test certificates ---------------------------------------------------------------------------------

def make_certificates(directory: Path, names: list[str], clients: list[str]) -> list[Path]:
    """Make a CA, a server certificate for these host names or addresses, and one per client; returns the files.

    For tests and first steps: elliptic curve P-256, valid for ``CERTIFICATE_DAYS``.  FileExistsError if a file
    exists.
    """
    from cryptography.hazmat.primitives.asymmetric import ec

    directory.mkdir(parents=True, exist_ok=True)
    ca_key = ec.generate_private_key(ec.SECP256R1())
    ca = _certificate("gaphub test CA", ca_key, None, None, [])
    paths = _write_pair(directory, "ca", ca, ca_key)
    for name, hosts in (("server", names), *((client, []) for client in clients)):
        key = ec.generate_private_key(ec.SECP256R1())
        paths += _write_pair(directory, name, _certificate(hosts[0] if hosts else name, key, ca, ca_key, hosts),
                             key)
    return paths


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
               .not_valid_after(now + datetime.timedelta(days=CERTIFICATE_DAYS))
               .add_extension(x509.BasicConstraints(ca=ca is None, path_length=0 if ca is None else None), True)
               .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), False)
               .add_extension(x509.AuthorityKeyIdentifier.from_issuer_public_key(
                   (ca_key or key).public_key()), False)
               .add_extension(x509.KeyUsage(
                   digital_signature=ca is not None, content_commitment=False, key_encipherment=False,
                   data_encipherment=False, key_agreement=False, key_cert_sign=ca is None, crl_sign=ca is None,
                   encipher_only=False, decipher_only=False), True))
    if hosts:
        builder = builder.add_extension(x509.SubjectAlternativeName([_general_name(h) for h in hosts]), False)
    if ca is not None:
        usage = ExtendedKeyUsageOID.SERVER_AUTH if hosts else ExtendedKeyUsageOID.CLIENT_AUTH
        builder = builder.add_extension(x509.ExtendedKeyUsage([usage]), False)
    return builder.sign(ca_key or key, hashes.SHA256())


def _general_name(text: str) -> GeneralName:
    from cryptography import x509

    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


def _write_pair(directory: Path, name: str, certificate: Certificate, key: EllipticCurvePrivateKey) -> list[Path]:
    from cryptography.hazmat.primitives.serialization import Encoding, NoEncryption, PrivateFormat

    certificate_path, key_path = directory / f"{name}.pem", directory / f"{name}.key"
    with open(certificate_path, "xb") as file:
        file.write(certificate.public_bytes(Encoding.PEM))
    descriptor = os.open(key_path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, "wb") as file:
        file.write(key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()))
    return [certificate_path, key_path]
