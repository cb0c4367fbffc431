"""The platform's part that concerns memory, as DEPLOY.md tells it.

"A process that uses more than memoryMb is killed"; "a process that exits or
is killed is restarted after a short delay".
"""

import asyncio

# RULES.md, Fault: "on a tenth of the machines in use (two at least) processes
# end by themselves three times in the day".
MACHINES = 2
TIMES = 3
RESTART_S = 0.5
CHECK_S = 0.02


class Memory:
    """Kill gateways over their memory and start them again."""

    def __init__(self, fleet, zones, memory_mb):
        self.fleet = fleet
        self.zones = zones
        self.memory_mb = memory_mb
        self.ended = dict.fromkeys(zones, 0)
        self._down = set()

    def resident(self):
        return [round(self.fleet.resident_mb(name)) for name in self.zones]

    def is_rule_broken(self):
        return sum(n >= TIMES for n in self.ended.values()) >= MACHINES

    async def run(self):
        while True:
            for name in self.zones:
                if name not in self._down:
                    self._check(name)
            await asyncio.sleep(CHECK_S)

    def _check(self, name):
        process = self.fleet.processes[name]
        # The peak counts too: the platform checks all the time.
        used = self.fleet.resident_mb(name, "VmHWM")
        if process.poll() is None and used <= self.memory_mb:
            return
        self.ended[name] += 1
        self.fleet.note(
            f"{name}: {used:.0f} MB of {self.memory_mb}, killed"
            if process.poll() is None
            else f"{name}: exited with {process.poll()}"
        )
        if process.poll() is None:
            self.fleet.kill(name)
        self._down.add(name)
        asyncio.get_running_loop().call_later(
            RESTART_S, self._restart, name
        )

    def _restart(self, name):
        if name not in self.zones:
            return
        try:
            self.fleet.start_gateway(
                name, self.zones[name], memory_mb=self.memory_mb
            )
        except OSError as exc:
            self.fleet.note(f"{name}: not started: {exc!r}")
            asyncio.get_running_loop().call_later(
                RESTART_S, self._restart, name
            )
            return
        self._down.discard(name)
