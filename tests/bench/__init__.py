"""Tests of tanagerloft.bench."""
