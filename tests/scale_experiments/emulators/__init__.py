"""Tests of the emulators."""
