"""Tests of tanagerloft; the directories mirror those of the package."""
