"""Addresses of the form `host:port`: what is accepted, and what is rejected."""

from __future__ import annotations

import pytest

from cache_router.net.address import Address, AddressError, parse_address


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:8080", ("127.0.0.1", 8080)),
        ("cache-1.example:1", ("cache-1.example", 1)),
        ("h:0", ("h", 0)),
        ("h:00080", ("h", 80)),
        ("h:65535", ("h", 65535)),
        ("[::1]:80", ("[::1]", 80)),
        ("a:b:80", ("a:b", 80)),
    ],
)
def test_host_and_port_are_split_at_the_last_colon(text: str, address: tuple[str, int]) -> None:
    """A host may hold colons of its own; a port may not."""
    assert parse_address(text) == address


def test_address_is_written_as_host_and_port() -> None:
    """Log lines name addresses in the form of the configuration."""
    assert str(Address("127.0.0.1", 6379)) == "127.0.0.1:6379"
    assert f"{parse_address('h:00080')}" == "h:80"


@pytest.mark.parametrize(
    "text",
    [
        "",
        ":",
        "h",
        "80",
        ":80",
        "h:",
        "h:65536",
        "h:99999",
        "h:000080",
        "h:-1",
        "h:+1",
        "h: 80",
        "h:80 ",
        "h:8_0",
        "h:0x50",
        "h:http",
        "h:\u0663",  # a digit to `int`, but not an ASCII one
    ],
)
def test_malformed_address_is_rejected(text: str) -> None:
    """Accepted, it would fail only when a connection is opened."""
    with pytest.raises(AddressError):
        parse_address(text)
