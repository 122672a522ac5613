"""Serves the VM list."""

from absl import flags

from anvilwell_standins.commands import serving
from anvilwell_standins import vmlist as vmlists

VMS = flags.DEFINE_multi_string(
    "vm", [], "id=address=failure domain of a VM; repeat for each."
)
LAG = flags.DEFINE_float("lag", 0.0, "Age of what is shown, in seconds.")

_PARTS = 3


def vmlist(argv):
    """Serve until a signal."""
    vms = [vmlists.Vm(*text.split("=")) for text in VMS.value]
    arguments = serving.arguments("vmlist")
    return serving.serve(vmlists.VmList(vms, lag_s=LAG.value, **arguments))


@flags.validator("vm", "give id=address=failure domain")
def _are_vms(texts):
    return all(len(text.split("=")) == _PARTS for text in texts)
