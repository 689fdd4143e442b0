"""Mutual TLS for the service's port."""

import os
from collections.abc import Iterable

import grpc

from wickvane.xds.errors import StreamRejectedError
from wickvane.xds.extension import TlsFiles

IDENTITY_PROPERTIES = ("x509_subject_alternative_name", "x509_common_name")
MAX_LOGGED_CHARACTERS = 64


def server_credentials(files: TlsFiles) -> grpc.ServerCredentials:
    """Returns credentials that are read again when a file has changed.

    If changed files cannot be used, the previous credentials remain in use. Raises OSError if the files
    cannot be read at the start.
    """

    def modification_times() -> tuple[int, ...]:
        return tuple(os.stat(path).st_mtime_ns for path in files)

    def read() -> grpc.ServerCertificateConfiguration:
        with (
            open(files.key, "rb") as key,
            open(files.certificate, "rb") as certificate,
            open(files.authority, "rb") as authority,
        ):
            return grpc.ssl_server_certificate_configuration(
                [(key.read(), certificate.read())], authority.read()
            )

    last_times = modification_times()

    def read_if_changed() -> grpc.ServerCertificateConfiguration | None:
        nonlocal last_times
        try:
            times = modification_times()
            if times == last_times:
                return None
            last_times = times
            return read()
        except (OSError, ValueError):
            return None

    return grpc.dynamic_ssl_server_credentials(read(), read_if_changed, True)


def check_identity(context: grpc.aio.ServicerContext, node: str) -> None:
    """Checks that the node's name is a name in its certificate, or starts with such a name and a slash.

    Raises StreamRejectedError.
    """
    if not any(node == name or node.startswith(name + "/") for name in _certificate_names(context)):
        raise StreamRejectedError(f"the certificate is not node {node[:MAX_LOGGED_CHARACTERS]}'s")


def _certificate_names(context: grpc.aio.ServicerContext) -> Iterable[str]:
    properties = context.auth_context()
    for key in IDENTITY_PROPERTIES:
        for name in properties.get(key, ()):
            yield name.decode("utf-8", "replace")
