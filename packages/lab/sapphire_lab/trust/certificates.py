"""A certificate authority for tests."""

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from sapphire_net.trust import tls

_LOOPBACK = ipaddress.ip_address("127.0.0.1")
_NOT_BEFORE = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
_NOT_AFTER = datetime.datetime(2120, 1, 1, tzinfo=datetime.UTC)
_PEM = serialization.Encoding.PEM


class CertificateAuthority:
    """Issues the certificates of one environment.

    Certificates are valid from 2020 to 2120.
    """

    def __init__(self, name: str) -> None:
        """Creates the key and the self-signed certificate.

        Args:
            name: The common name of the authority.
        """
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = _build_name(name, None)
        self._certificate = (
            _start_certificate(self._name, self._name, self._key.public_key())
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), True)
            .sign(self._key, hashes.SHA256())
        )

    def pem(self) -> bytes:
        """Returns the certificate of the authority in PEM."""
        return self._certificate.public_bytes(_PEM)

    def issue(
        self,
        directory: pathlib.Path,
        name: str,
        unit: str | None,
        *,
        address: ipaddress.IPv4Address | ipaddress.IPv6Address = _LOOPBACK,
        usages: tuple[x509.ObjectIdentifier, ...] = (
            oid.ExtendedKeyUsageOID.SERVER_AUTH,
            oid.ExtendedKeyUsageOID.CLIENT_AUTH,
        ),
    ) -> tls.TlsFiles:
        """Issues a certificate and writes it to files, with all that TLS needs.

        Args:
            directory: The directory, made if missing; files are replaced.
            name: The common name.
            unit: The organizational unit, which names the role; None for none.
            address: The IP address in the subject alternative name.
            usages: The extended key usages.

        Returns:
            The paths of the files.
        """
        directory.mkdir(exist_ok=True)
        files = tls.TlsFiles(
            certificate=directory / "certificate.pem",
            private_key=directory / "key.pem",
            authorities=directory / "authorities.pem",
        )
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = (
            _start_certificate(
                _build_name(name, unit), self._name, key.public_key()
            )
            .add_extension(
                x509.SubjectAlternativeName([x509.IPAddress(address)]), False
            )
            .add_extension(x509.ExtendedKeyUsage(usages), False)
            .sign(self._key, hashes.SHA256())
        )
        files.certificate.write_bytes(certificate.public_bytes(_PEM))
        files.private_key.write_bytes(
            key.private_bytes(
                _PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        files.authorities.write_bytes(self.pem())
        return files


def _build_name(name: str, unit: str | None) -> x509.Name:
    """Returns an X.509 name of a common name and an organizational unit."""
    attributes = [x509.NameAttribute(oid.NameOID.COMMON_NAME, name)]
    if unit is not None:
        attributes.append(
            x509.NameAttribute(oid.NameOID.ORGANIZATIONAL_UNIT_NAME, unit)
        )
    return x509.Name(attributes)


def _start_certificate(
    subject: x509.Name, issuer: x509.Name, key: ec.EllipticCurvePublicKey
) -> x509.CertificateBuilder:
    """Returns a builder with the fields that all certificates have."""
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(_NOT_BEFORE)
        .not_valid_after(_NOT_AFTER)
    )
