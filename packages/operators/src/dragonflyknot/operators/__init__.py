"""The configuration document, the command line and the control-room view."""
