"""What the controller asks of a platform; an adapter implements it."""

import typing

import attrs


class PlatformError(Exception):
    """The platform did not answer usably; the text says how."""


@attrs.frozen(kw_only=True)
class CountOrder:
    """An order for the number of servers of a service in a domain."""

    service: str
    domain: str
    count: int
    spot: bool


@attrs.frozen(kw_only=True)
class Receipt:
    """The platform's answer to an order or report.

    ``stale`` means that a higher fencing number was seen, ``unavailable``
    that no such servers are to be had there at the moment.
    """

    accepted: bool
    stale: bool = False
    unavailable: bool = False
    detail: str = ''


class Platform(typing.Protocol):
    """Client of the platform's interface."""

    def list_servers(self):
        """Return the servers as a tuple of :class:`ListedServer`.

        :raises PlatformError: if the list cannot be read in full.
        """

    def connect(self):
        """Return a new connection with ``close()`` for one order.

        :raises OSError: if the platform cannot be reached.
        """

    def report_usage(self, conn, window, counts, number, timeout_ms):
        """Report the requests of a window once; return a receipt.

        :raises OSError: if the outcome is unknown.
        """

    def order_servers(self, conn, order, number, timeout_ms):
        """Order a number of servers once; return a receipt.

        :raises OSError: if the outcome is unknown.
        """
