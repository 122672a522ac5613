"""Command line of the auditor."""

import sys

from absl import app
from absl import flags

from anvilwell_bench.audit import reader
from anvilwell_bench.audit import report

_PARTIES = flags.DEFINE_list(
    "parties", [], "Parties that must have left a record."
)
_BREACH_CODE = 1
_BAD_RECORD_CODE = 2


def main(argv):
    """Audit the folder named in `argv`; return the exit code."""
    if len(argv) != 2:
        raise app.UsageError("give one folder of record files")
    try:
        outcome = report.audit(reader.read(argv[1], _PARTIES.value))
    except reader.BadRecord as error:
        print(f"audit: bad record: {error.message}", file=sys.stderr)
        return _BAD_RECORD_CODE
    print("\n".join(outcome.lines()))
    return 0 if outcome.is_clean else _BREACH_CODE


if __name__ == "__main__":
    app.run(main)
