"""Text encoding of HDR histograms, used in result files and on the control channel of the emulators."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram


def encode_histogram(histogram: HdrHistogram) -> str:
    """Return a histogram in the encoding of HdrHistogram (version 2, compressed), as base64."""
    return bytes(histogram.encode()).decode("ascii")


def decode_histogram(text: str) -> HdrHistogram:
    """Decode a text that `encode_histogram` returned."""
    return HdrHistogram.decode(text)
