"""Pure state machines that take every decision of dragonflyknot.

Nothing in this package performs I/O, reads a clock or draws randomness.
Time is an argument in monotonic seconds, and randomness is a
`random.Random` that the caller owns. The border packages turn wire data
into the data classes defined here, call a state machine and carry out the
commands it returns.
"""
