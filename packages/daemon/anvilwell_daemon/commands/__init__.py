"""The commands of ``anvilwelld``."""

from absl import flags

from anvilwell_daemon.commands import check_settings
from anvilwell_daemon.commands import run
from anvilwell_daemon.commands import version
from anvilwell_kernel import commandline

_FLAGS = flags.FlagValues()
flags.DEFINE_string(
    "settings", None, "File with the daemon's settings.", flag_values=_FLAGS
)

PROGRAM = commandline.Program(
    name="anvilwelld",
    about="Routes requests to backend servers and samples to trainers.",
    commands_by_name={
        "run": commandline.Command(run.run, (), "run until SIGTERM"),
        "check-settings": commandline.Command(
            check_settings.check_settings, (), "say all that is wrong"
        ),
        "version": commandline.Command(version.version, (), "say the version"),
    },
    flag_values=_FLAGS,
)
