"""Parsing and formatting of emulator addresses."""

from __future__ import annotations

import pytest

from scale_experiments.emulators.address import format_address, parse_address


def test_address_is_split_at_its_last_colon_and_joined_again() -> None:
    assert parse_address("127.2.0.1:6379") == ("127.2.0.1", 6379)
    assert parse_address("::1:80") == ("::1", 80)
    assert format_address(("127.2.0.1", 6379)) == "127.2.0.1:6379"


def test_address_without_a_number_as_port_is_rejected() -> None:
    with pytest.raises(ValueError, match="invalid literal"):
        parse_address("127.2.0.1:http")
