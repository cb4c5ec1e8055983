"""Tests of tanagerloft.platform."""
