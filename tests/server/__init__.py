"""Tests of tanagerloft.server."""
