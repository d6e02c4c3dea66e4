"""Interface of the controller to a platform, implemented by an adapter."""

import typing

import attrs


class PlatformError(Exception):
    """The platform's response is unusable; the message says why."""


@attrs.frozen
class RejectedEntry:
    """An entry of the list that names no server, and the reason."""

    entry: str
    reason: str


@attrs.frozen(kw_only=True)
class ServerListing:
    """The platform's list: the servers and the entries that name none."""

    servers: tuple
    rejected: tuple[RejectedEntry, ...] = ()


@attrs.frozen(kw_only=True)
class CountOrder:
    """An order for the number of servers of a service in a domain.

    ``spot`` selects spot servers, which the platform may reclaim.
    """

    service: str
    domain: str
    count: int
    spot: bool


@attrs.frozen(kw_only=True)
class Receipt:
    """The platform's answer to an order or report.

    ``stale`` means that the platform has seen a higher fencing number,
    ``unavailable`` that it has no such servers in the domain at the moment.
    """

    accepted: bool
    stale: bool = False
    unavailable: bool = False
    detail: str = ''


class Platform(typing.Protocol):
    """Client of the platform's interface."""

    def list_servers(self):
        """Return a :class:`ServerListing` of :class:`ListedServer` objects.

        Other programs may write entries into the list. One that cannot be
        used does not affect the others.

        :raises PlatformError: if the list cannot be read in full.
        """

    def connect(self):
        """Return a new connection for one order, with a ``close()`` method.

        :raises OSError: if the platform cannot be reached.
        """

    def report_usage(self, conn, window, counts, number, timeout_ms):
        """Report the request counts of a window once; return a receipt.

        :raises OSError: if the outcome is unknown.
        """

    def order_servers(self, conn, order, number, timeout_ms):
        """Order a number of servers once; return a receipt.

        :raises OSError: if the outcome is unknown.
        """
