"""Tests of tanagerloft.decisions."""
