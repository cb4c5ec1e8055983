"""Tests of tanagerloft.net."""
