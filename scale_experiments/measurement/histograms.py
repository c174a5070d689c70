"""The text form of HDR histograms, which kept results and the emulators' control channel use."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram


def encode_histogram(histogram: HdrHistogram) -> str:
    """A histogram in the encoding of HdrHistogram (version 2, compressed), as base64."""
    return bytes(histogram.encode()).decode("ascii")


def decode_histogram(text: str) -> HdrHistogram:
    """The histogram of a text that `encode_histogram` returned."""
    return HdrHistogram.decode(text)
