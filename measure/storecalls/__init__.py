"""Measure the calls of the platform's clients and of the document."""
