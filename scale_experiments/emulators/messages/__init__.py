"""The messages of the control channel: an experiment's commands and an emulator's replies.

A command is the JSON object `{"do": NAME, ...}`; a reply is an object without `do`. The JSON key of a field
is the field's name, or the `KEY` of its metadata. Times are in seconds. The time `at` is of the monotonic
clock, which all processes of a machine share. The messages of each emulator are in a module of their own, so
that an emulator does not load those of others.
"""
