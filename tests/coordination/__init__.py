"""Tests of tanagerloft.coordination."""
