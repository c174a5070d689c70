"""Messages of the control channel: the commands of an experiment and the replies of an emulator.

A command is the JSON object `{"do": NAME, ...}`; a reply is an object without `do`. The JSON key of a field
is the `JSON_KEY` of its metadata, or else the field's name. Times are in seconds. The field `at` is a time of
the monotonic clock, which all processes of a machine share. Each emulator has a module for its messages, so
that its process does not load the messages of other emulators.
"""
