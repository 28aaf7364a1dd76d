"""IP networks: values by longest matching prefix, sets of networks, and the network of an unknown client."""

from __future__ import annotations

import ipaddress
from collections.abc import Iterable
from typing import Generic, TypeVar

V = TypeVar("V")
IPV4_MAPPED_PREFIX = "::ffff:"  # an IPv4 client on a dual-stack socket
IPV6_CLIENT_PREFIX_LENGTH = 64  # what a site commonly has


class NetworkError(ValueError):
    """A text that is no network; the message is one plain line."""


def normalize_network(network: str) -> str:
    """The canonical form of a network; NetworkError if it is none, or has bits set past its prefix."""
    try:
        return str(ipaddress.ip_network(network))
    except ValueError as error:
        raise NetworkError(str(error)) from None


class PrefixMap(Generic[V]):
    """Values by network, in a PATRICIA trie; an address has the value of the longest matching prefix."""

    def __init__(self) -> None:
        # Imported here: a gateway without contracts must not pay for it.
        from pytricia import PyTricia

        self._ipv4, self._ipv6 = PyTricia(32), PyTricia(128)

    def put(self, network: str, value: V) -> None:
        """Set the value of a network; NetworkError if it is none."""
        canonical = normalize_network(network)
        trie = self._ipv6 if ":" in canonical else self._ipv4
        trie[canonical] = value

    def get(self, address: str) -> V | None:
        """The value for an address; None also for a text that is no address."""
        plain = _plain_address(address)
        trie = self._ipv6 if ":" in plain else self._ipv4
        try:
            found: V | None = trie.get(plain)
        except ValueError:  # no address at all
            return None
        return found


class NetworkSet:
    """A set of networks."""

    def __init__(self, networks: Iterable[str]) -> None:
        self._members: PrefixMap[bool] = PrefixMap()
        for network in networks:
            self._members.put(network, True)

    def contains(self, address: str) -> bool:
        """Whether the address is in one of the networks."""
        return self._members.get(address) is not None


def client_network(address: str) -> str:
    """The network that an unauthenticated client counts with: a /24 of IPv4 or a /64 of IPv6."""
    plain = _plain_address(address)
    if ":" not in plain:
        return plain.rpartition(".")[0] + ".0/24"
    return str(ipaddress.ip_network((plain, IPV6_CLIENT_PREFIX_LENGTH), strict=False))


def _plain_address(address: str) -> str:
    """The address without an IPv4-mapped prefix or a zone index."""
    return address.removeprefix(IPV4_MAPPED_PREFIX).partition("%")[0]
