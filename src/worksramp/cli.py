"""Command line of worksramp.

Exit codes: 0 done, 1 refused by the service, 2 unusable settings or arguments, 3 the service cannot be
reached.
"""

import sys
import tomllib
import uuid
from pathlib import Path

import anyio
import fire
import httpx
import msgspec

from worksramp.addresses import reason_cannot_listen
from worksramp.node.main import run_node
from worksramp.settings import load_settings
from worksramp.settings_error import SettingsError
from worksramp.step_report import report

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
REQUEST_TIMEOUT_SECONDS = 15.0
FIRST_ERROR_STATUS = 400


def _fail(code: int, message: str) -> None:
    print(message, file=sys.stderr)
    raise SystemExit(code)


class _Api:
    """One node's operators' API."""

    def __init__(self, node: str, key: str) -> None:
        self._node = node
        self._headers = {"authorization": f"Bearer {key}"}

    def request(self, method: str, path: str, content: bytes | None = None) -> bytes:
        url = f"http://{self._node}{path}"
        try:
            response = httpx.request(
                method, url, content=content, headers=self._headers, timeout=REQUEST_TIMEOUT_SECONDS
            )
        except httpx.HTTPError as error:
            _fail(EXIT_UNREACHABLE, f"step=cli.request peer={self._node} reason={error!r}")
            raise
        if response.status_code >= FIRST_ERROR_STATUS:
            _fail(EXIT_REFUSED, response.text)
        return response.content


class ConfigCommands:
    """Read and publish configuration."""

    def show(self, node: str, key: str) -> None:
        """Print what is in force, for example ``worksramp config show --node 127.0.0.1:8101 --key K``."""
        print(_Api(node, key).request("GET", "/v1/configuration").decode())

    def publish(self, node: str, key: str, file: str, expected_revision: int, change_id: str = "") -> None:
        """Publish a TOML document; repeat with the same change id when the outcome was unknown.

        Example: ``worksramp config publish --node 127.0.0.1:8101 --key K --file litoral.toml
        --expected_revision 0``
        """
        try:
            document = tomllib.loads(Path(file).read_text(encoding="utf-8"))
        except (OSError, tomllib.TOMLDecodeError) as error:
            _fail(EXIT_USAGE, f"{file}: {error}")
            raise
        change = {
            "change_id": change_id or uuid.uuid4().hex,
            "expected_revision": expected_revision,
            "document": document,
        }
        print(_Api(node, key).request("PUT", "/v1/configuration", msgspec.json.encode(change)).decode())


class JobCommands:
    """Jobs and their prompts."""

    def prompts(self, node: str, key: str, file: str) -> None:
        """Store a prompt file, one prompt a line, and print the name of the set."""
        try:
            lines = Path(file).read_text(encoding="utf-8").splitlines()
        except OSError as error:
            _fail(EXIT_USAGE, f"{file}: {error}")
            raise
        body = msgspec.json.encode({"prompts": [line for line in lines if line]})
        print(_Api(node, key).request("POST", "/v1/prompts", body).decode())

    def show(self, node: str, key: str, job: str) -> None:
        """Print a job's state, for example ``worksramp job show --node 127.0.0.1:8101 --key K --job J``."""
        print(_Api(node, key).request("GET", f"/v1/jobs/{job}").decode())


class Commands:
    """worksramp: a rollout service for reinforcement learning beside live traffic."""

    def __init__(self) -> None:
        self.config = ConfigCommands()
        self.job = JobCommands()

    def node(self, settings: str, **overrides: str) -> None:
        """Run a node, for example ``worksramp node --settings node.toml --log_level debug``.

        Any top-level setting may be overridden by a flag of its name.
        """
        try:
            checked = load_settings(settings, overrides)
        except SettingsError as error:
            _fail(EXIT_USAGE, str(error))
            raise
        for field in ("listen", "peer_listen"):
            reason = reason_cannot_listen(getattr(checked, field))
            if reason is not None:
                _fail(EXIT_USAGE, f"{settings}: {field}: {reason}")
        anyio.run(run_node, checked)

    def status(self, node: str, key: str) -> None:
        """Print a node's state: members, shards it serves, requests in flight."""
        print(_Api(node, key).request("GET", "/v1/status").decode())

    def steps(self, *files: str, grace_s: float = 0.0) -> None:
        """Print from nodes' log files which groups of which steps were late, and in which stage.

        Example: ``worksramp steps node-1.log node-2.log --grace_s 0.7``
        """
        if not files:
            _fail(EXIT_USAGE, "files: name at least one log file")
        lines: list[str] = []
        for file in files:
            try:
                lines += Path(str(file)).read_text(encoding="utf-8", errors="replace").splitlines()
            except OSError as error:
                _fail(EXIT_USAGE, f"{file}: {error}")
        print(report(lines, grace_s))

    def drain(self, node: str, key: str) -> None:
        """Tell a node to leave in order."""
        print(_Api(node, key).request("POST", "/v1/drain").decode())


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="worksramp")
