"""One module for each command, with one function of its name.

A command takes its positional arguments, prints what it measured and
returns an exit status. It reads ``flags.FLAGS.seed`` and ``.quick``.
"""
