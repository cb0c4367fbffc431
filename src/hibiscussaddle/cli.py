"""Command line of the service and for its operators."""

import functools
import sys

import anyio
import fire

from hibiscussaddle import __version__
from hibiscussaddle import codes as result_codes
from hibiscussaddle.commands import console
from hibiscussaddle.commands import contract
from hibiscussaddle.commands import endpoint
from hibiscussaddle.commands import fleet
from hibiscussaddle.commands import instance
from hibiscussaddle.commands import step
from hibiscussaddle.commands import weights
from hibiscussaddle import entry as entry_lib
from hibiscussaddle import logs
from hibiscussaddle import settings as settings_lib


class Commands:
    """Run and operate the rollout service."""

    def __init__(self) -> None:
        """Create the groups of operator commands."""
        self.contract = contract.ContractCommands()
        self.weights = weights.WeightCommands()
        self.endpoint = endpoint.EndpointCommands()
        self.instance = instance.InstanceCommands()
        self.step = step.StepCommands()
        self.fleet = fleet.FleetCommands()

    def entry(self, **flags: object) -> None:
        """Run an entry instance; flags are the settings."""
        cfg = console.unwrap(settings_lib.load(flags, console.environ()))
        logs.configure(cfg.log_level, cfg.instance, cfg.zone)
        anyio.run(entry_lib.run, cfg, backend_options={"use_uvloop": True})

    def gateway(self, **flags: object) -> None:
        """Run a gateway instance on a hosting platform."""
        # Imported here, so that each command loads only what it runs.
        from hibiscussaddle import gateway_process
        from hibiscussaddle import gateway_settings

        cfg = console.unwrap(gateway_settings.load(flags, console.environ()))
        gateway_process.configure_logs(cfg)
        anyio.run(gateway_process.run, cfg)

    def settings(self, output: str = "table", **flags: object) -> None:
        """Print the settings that 'entry' would use."""
        cfg = console.unwrap(settings_lib.load(flags, console.environ()))
        console.show(cfg.to_dict(), output)

    def standin(
        self, name: str, port: int, host: str = "127.0.0.1", **options: object
    ) -> None:
        """Run a stand-in for an external system."""
        # Imported here, so that an entry instance does not load the stand-ins.
        from hibiscussaddle.standins import run as standin_run

        if name not in standin_run.FACTORIES:
            known = ", ".join(sorted(standin_run.FACTORIES))
            console.fail(
                result_codes.Refusal(
                    result_codes.Code.SETTING_INVALID,
                    f"stand-in {name!r} does not exist; allowed: {known}",
                )
            )
        logs.configure("info", f"standin-{name}", "-")
        run_standin = functools.partial(
            standin_run.run, name, host, port, options
        )
        anyio.run(run_standin)

    def status(self, address: str = "", output: str = "table") -> None:
        """Print the state of an entry instance."""
        console.show(console.call(address, "GET", "/v1/status"), output)

    def codes(self) -> None:
        """Print the table of result codes."""
        sys.stdout.write(result_codes.render_table())

    def version(self) -> None:
        """Print the version."""
        sys.stdout.write(__version__ + "\n")


def main() -> None:
    """Run one command."""
    fire.Fire(Commands(), name="hibiscussaddle")
