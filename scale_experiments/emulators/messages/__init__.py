"""The messages of the control channel: an experiment's commands and an emulator's replies.

A command is the JSON object `{"do": NAME, ...}`, a reply an object without `do`. A field is spelled as in its
class, or as its metadata's `KEY` says. Times are in seconds; `at` is of the monotonic clock, which all
processes of a machine share. Each emulator has a module of its own, so that it loads no other's messages.
"""
