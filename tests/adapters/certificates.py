"""Creates authorities and certificates with the ``openssl`` command."""

from __future__ import annotations

import subprocess
import typing

import attrs

from thornspool import settings

if typing.TYPE_CHECKING:
    import pathlib

_REQUEST = (
    *('openssl', 'req', '-x509', '-newkey', 'ec', '-days', '2'),
    *('-pkeyopt', 'ec_paramgen_curve:prime256v1'),
)


@attrs.frozen
class Pair:
    """Paths of a certificate and its key."""

    certificate: str
    key: str


def make_pair(
    folder: pathlib.Path,
    name: str,
    authority: Pair | None = None,
    password: str = '',
) -> Pair:
    """Create a certificate for loopback, or an authority if none is given."""
    pair = Pair(str(folder / f'{name}.pem'), str(folder / f'{name}.key'))
    command = [*_REQUEST, '-subj', f'/CN={name}', '-keyout', pair.key]
    command += ['-out', pair.certificate]
    command += ['-passout', f'pass:{password}'] if password else ['-nodes']
    if authority is not None:
        command += ['-CA', authority.certificate, '-CAkey', authority.key]
        command += ['-addext', 'subjectAltName=IP:127.0.0.1']
        command += ['-addext', 'basicConstraints=critical,CA:FALSE']
    subprocess.run(command, check=True, capture_output=True, timeout=30)
    return pair


class Certificates:
    """Certificates of two independent authorities."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.authority = make_pair(folder, 'authority')
        self.server = make_pair(folder, 'server', self.authority)
        self.client = make_pair(folder, 'client', self.authority)
        other = make_pair(folder, 'other-authority')
        self.other_authority = other
        self.foreign = make_pair(folder, 'stranger', other)

    def build_tls(
        self, requires_client_certificate: bool = False
    ) -> settings.Tls:
        """Build the TLS settings of a listener."""
        client_authority = (
            self.authority.certificate if requires_client_certificate else ''
        )
        return settings.Tls(
            self.server.certificate, self.server.key, client_authority
        )
