"""Example deployments as separate processes on loopback, which are stopped by process id."""

import hashlib
import os
import random
import signal
import socket
import subprocess
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
import msgspec

from worksramp.backends.base import Machine, MachineRole
from worksramp.rollout.document import group_name

BIN = Path(sys.executable).parent
ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
PORT_RANGE = (20_000, 32_000)
READY_TIMEOUT_SECONDS = 60.0
STOP_TIMEOUT_SECONDS = 30.0
OK = 200
API_KEYS = {"caller": "caller-key", "trainer": "trainer-key", "operator": "operator-key"}


class EngineTable(msgspec.Struct, forbid_unknown_fields=True):
    """Profile of the emulated engines."""

    max_num_seqs: int
    step_base_seconds: float
    step_per_sequence_seconds: float
    load_seconds: float


class Example(msgspec.Struct, forbid_unknown_fields=True):
    """An example deployment, as its ``deployment.toml`` specifies it."""

    tenant: str
    zones: tuple[str, ...]
    fleet: str
    model: str
    application: str
    num_engines: int
    num_application_workers: int
    prompt_files: dict[str, str]
    configuration: str
    engine: EngineTable


def load_example(name: str) -> Example:
    """Read the example deployment with a name."""
    raw = tomllib.loads((ROOT / "examples" / name / "deployment.toml").read_text(encoding="utf-8"))
    return msgspec.convert(raw, Example)


def free_addresses(count: int) -> list[str]:
    """Return ``count`` loopback addresses whose ports are free for TCP and UDP now.

    The ports lie below the ephemeral port range. Otherwise an outgoing connection could take a port between
    this check and the start of the listener.
    """
    ports = random.sample(range(*PORT_RANGE), PORT_RANGE[1] - PORT_RANGE[0])
    free: list[str] = []
    while len(free) < count:
        port = ports.pop()
        if all(_is_free(kind, port) for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
            free.append(f"{HOST}:{port}")
    return free


def _is_free(kind: socket.SocketKind, port: int) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


@dataclass(slots=True)
class Deployment:
    """Addresses and processes of one example.

    Attributes:
        directory: folder for generated files and the output of the processes.
        log: address of the emulated log.
        platform: address of weight store, machine list and scorer.
        nodes: HTTP addresses of the nodes, one per zone, in the order of the zones.
        peers: addresses of the same nodes for other nodes.
        extra_machines: machines that the machine list contains beside those of the example.
        are_engines_hollow: whether all engines share one process.
        processes: all started processes, by name.
    """

    example: Example
    name: str
    directory: Path
    log: str
    platform: str
    nodes: list[str]
    peers: list[str]
    engines: list[str]
    applications: list[str]
    extra_machines: tuple[Machine, ...] = ()
    are_engines_hollow: bool = False
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    @classmethod
    def plan(cls, name: str, directory: Path, example: Example | None = None) -> "Deployment":
        """Return a deployment with free addresses and no processes.

        Args:
            name: folder of the example, whose prompts and configuration are used.
            directory: folder for generated files, created if missing.
            example: specification to use instead of the one in the folder.
        """
        example = example or load_example(name)
        num_zones = len(example.zones)
        total = 2 + 2 * num_zones + example.num_engines + example.num_application_workers
        addresses = free_addresses(total)
        log, platform, *rest = addresses
        nodes, rest = rest[:num_zones], rest[num_zones:]
        peers, rest = rest[:num_zones], rest[num_zones:]
        engines, applications = rest[: example.num_engines], rest[example.num_engines :]
        directory.mkdir(parents=True, exist_ok=True)
        return cls(example, name, directory, log, platform, nodes, peers, engines, applications)

    def start_platform(self) -> None:
        """Start log, platform services, engines and application workers."""
        machines_file = self.directory / "machines.json"
        machines_file.write_bytes(msgspec.json.encode(self.machines()))
        self.emulator("log", "log", listen=self.log)
        self.emulator("platform", "platform", listen=self.platform, machines=str(machines_file))
        self._start_engines()
        for index, address in enumerate(self.applications):
            self.emulator(
                f"application-{index}", "application", listen=address, worker_id=f"application-{index}"
            )

    def _start_engines(self) -> None:
        table = self.example.engine
        if self.are_engines_hollow:
            file = self.directory / "engines.txt"
            file.write_text("\n".join(self.engines), encoding="utf-8")
            self.emulator(
                "engines",
                "hollow_engines",
                addresses_file=str(file),
                max_num_seqs=table.max_num_seqs,
                load_seconds=table.load_seconds,
            )
            return
        for index, address in enumerate(self.engines):
            self.emulator(
                f"engine-{index}",
                "engine",
                listen=address,
                engine_id=f"engine-{index}",
                max_num_seqs=table.max_num_seqs,
                step_base_seconds=table.step_base_seconds,
                step_per_sequence_seconds=table.step_per_sequence_seconds,
                load_seconds=table.load_seconds,
            )

    def start_node(self, index: int) -> None:
        """Start the node of the zone with an index."""
        file = self.directory / f"node-{index}.toml"
        file.write_text(self._settings(index), encoding="utf-8")
        self._start(f"node-{index}", [str(BIN / "worksramp"), "node", "--settings", str(file)])

    def start_trainer(self, job: str, num_steps: int, train_seconds: float) -> Path:
        """Start a trainer and return the path of the file to which it will write its record."""
        record_file = self.directory / f"trainer-{job}.json"
        self.emulator(
            f"trainer-{job}",
            "trainer",
            nodes=" ".join(self.nodes),
            key=API_KEYS["trainer"],
            job=job,
            store=self.platform,
            model=self.example.model,
            num_steps=num_steps,
            train_seconds=train_seconds,
            record_file=str(record_file),
        )
        return record_file

    def machines(self) -> tuple[Machine, ...]:
        """Return the machine list of the deployment."""
        zones = self.example.zones
        nodes = [
            Machine(f"node-{index}", MachineRole.NODE, address, zones[index])
            for index, address in enumerate(self.peers)
        ]
        fleet = group_name(self.example.tenant, self.example.fleet)
        engines = [
            Machine(f"engine-{index}", MachineRole.ENGINE, address, zones[index % len(zones)], fleet)
            for index, address in enumerate(self.engines)
        ]
        group = group_name(self.example.tenant, self.example.application)
        applications = [
            Machine(
                f"application-{index}", MachineRole.APPLICATION, address, zones[index % len(zones)], group
            )
            for index, address in enumerate(self.applications)
        ]
        return (*nodes, *engines, *applications, *self.extra_machines)

    async def wait_ready(self, index: int) -> None:
        """Wait until a node is ready.

        Raises:
            TimeoutError: it was not ready within ``READY_TIMEOUT_SECONDS``.
        """
        async with httpx.AsyncClient(trust_env=False) as client:
            with anyio.fail_after(READY_TIMEOUT_SECONDS):
                while True:
                    try:
                        response = await client.get(f"http://{self.nodes[index]}/ready")
                        if response.status_code == OK:
                            return
                    except httpx.HTTPError:
                        pass
                    await anyio.sleep(0.05)

    async def configure(self) -> None:
        """Store the prompt sets and publish the example's configuration."""
        headers = {"authorization": f"Bearer {API_KEYS['operator']}"}
        folder = ROOT / "examples" / self.name
        text = (folder / self.example.configuration).read_text(encoding="utf-8")
        base = f"http://{self.nodes[0]}"
        async with httpx.AsyncClient(headers=headers, timeout=30.0, trust_env=False) as client:
            for label, file in self.example.prompt_files.items():
                prompts = (folder / file).read_text(encoding="utf-8").splitlines()
                response = await client.post(f"{base}/v1/prompts", json={"prompts": prompts})
                response.raise_for_status()
                text = text.replace(f"{{{label}}}", response.json()["prompt_set"])
            text = text.replace("{scorer}", self.platform)
            change = {"change_id": "first", "expected_revision": 0, "document": tomllib.loads(text)}
            response = await client.put(f"{base}/v1/configuration", json=change)
            response.raise_for_status()

    def memory_mib(self, name: str) -> float:
        """Return the resident memory of a process in MiB."""
        status = Path(f"/proc/{self.processes[name].pid}/status").read_text(encoding="utf-8")
        kib = next(line.split()[1] for line in status.splitlines() if line.startswith("VmRSS"))
        return int(kib) / 1024

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        os.kill(self.processes[name].pid, number)

    def stop(self) -> dict[str, int]:
        """Stop all processes by process id, nodes gracefully and first; return the exit codes of the nodes.

        A node that does not stop within ``STOP_TIMEOUT_SECONDS`` is killed.
        """
        node_names = [name for name in self.processes if name.startswith("node-")]
        codes: dict[str, int] = {}
        for name in node_names:
            if self.processes[name].poll() is None:
                self.processes[name].terminate()
        for name in node_names:
            try:
                codes[name] = self.processes[name].wait(STOP_TIMEOUT_SECONDS)
            except subprocess.TimeoutExpired:
                self.processes[name].kill()
                codes[name] = self.processes[name].wait()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        return codes

    def emulator(self, name: str, command: str, **flags: object) -> None:
        """Start a command of ``worksramp-emulator`` as a process."""
        arguments = [f"--{flag}={value}" for flag, value in flags.items()]
        self._start(name, [str(BIN / "worksramp-emulator"), command, *arguments])

    def _start(self, name: str, command: list[str]) -> None:
        with (self.directory / f"{name}.log").open("wb") as output:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )

    def _settings(self, index: int) -> str:
        lines = [
            f'node_id = "node-{index}"',
            f'zone = "{self.example.zones[index]}"',
            f'listen = "{self.nodes[index]}"',
            f'peer_listen = "{self.peers[index]}"',
            "[platform]",
            f'log = "{self.log}"',
            f'weight_store = "{self.platform}"',
            f'machine_list = "{self.platform}"',
        ]
        for role, key in API_KEYS.items():
            digest = hashlib.sha256(key.encode()).hexdigest()
            lines += ["[[keys]]", f'tenant = "{self.example.tenant}"', f'role = "{role}"']
            lines += [f'sha256 = "{digest}"']
        return "\n".join(lines) + "\n"
