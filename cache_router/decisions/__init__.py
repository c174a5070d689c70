"""The routing decisions, as a state machine without I/O and without a clock."""
