"""Experiments on the decisions, each against a baseline in the same run."""
