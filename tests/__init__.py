"""Tests of tanagerloft; the folders mirror the package."""
