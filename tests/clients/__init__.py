"""Tests of clients that do not behave, each against a process of its own."""
