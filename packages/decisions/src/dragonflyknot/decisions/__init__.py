"""Pure state machines that make all decisions of dragonflyknot.

Nothing in this package performs I/O, reads a clock or creates randomness.
Time is an argument in monotonic seconds, and randomness comes from a
`random.Random` that the caller owns. The packages that perform I/O convert
wire data to the data classes defined here, call a state machine and carry out
the commands that it returns.
"""
