"""Tests of tanagerloft.util."""
