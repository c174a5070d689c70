"""Parsing of `host:port` addresses: valid and malformed ones."""

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
    """A host may contain colons, such as an IPv6 address; a port may not."""
    assert parse_address(text) == address


def test_address_is_written_as_host_and_port() -> None:
    """Log lines show addresses in the form that the configuration uses."""
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
        "h:\u0663",  # a non-ASCII digit, which `int` accepts
    ],
)
def test_malformed_address_is_rejected(text: str) -> None:
    """If it were accepted, the error would only appear when a connection is opened."""
    with pytest.raises(AddressError):
        parse_address(text)
