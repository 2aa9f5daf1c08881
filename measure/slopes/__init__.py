"""Measure what each part costs for one more member, message or entry."""
