"""Measurement of CPU time and reference work, encoding of histograms, and values with standard errors."""
