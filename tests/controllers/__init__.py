"""Tests of tanagerloft.controllers."""
