"""Tests of tanagerloft.config."""
