"""The text form of HDR histograms, in kept results and on the emulators' control channel."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram


def encode_histogram(histogram: HdrHistogram) -> str:
    """A histogram in HDR's own encoding, as base64."""
    return bytes(histogram.encode()).decode("ascii")


def decode_histogram(text: str) -> HdrHistogram:
    """The histogram of a text that `encode_histogram` returned."""
    return HdrHistogram.decode(text)
