"""Tests of tanagerloft.cmd."""
