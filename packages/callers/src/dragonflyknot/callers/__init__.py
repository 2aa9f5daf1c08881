"""The edge: serves callers over HTTP."""
