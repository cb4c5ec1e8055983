"""Tests of tanagerloft.gateway."""
