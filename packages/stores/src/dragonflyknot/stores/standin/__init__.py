"""A stand-in for the platform's services, for tests and first runs.

`server` listens on one port and speaks the few calls of the DynamoDB and S3
protocols that the clients use, served from the embedded backend. `control`
turns faults on and off.
"""
