"""Command line interface of worksramp.

Exit codes: 0 for success, 1 if the service refused the request, 2 for unusable settings or arguments, 3 if
the service cannot be reached.
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


def _exit_with(code: int, message: str) -> None:
    print(message, file=sys.stderr)
    raise SystemExit(code)


class _Api:
    """Client of the HTTP API of one node."""

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
            _exit_with(EXIT_UNREACHABLE, f"step=cli.request peer={self._node} reason={error!r}")
            raise
        if response.status_code >= FIRST_ERROR_STATUS:
            _exit_with(EXIT_REFUSED, response.text)
        return response.content


class ConfigCommands:
    """Read and publish configuration."""

    def show(self, node: str, key: str) -> None:
        """Print the configuration in force.

        Example: ``worksramp config show --node 127.0.0.1:8101 --key K``
        """
        print(_Api(node, key).request("GET", "/v1/configuration").decode())

    def publish(self, node: str, key: str, file: str, expected_revision: int, change_id: str = "") -> None:
        """Publish a TOML document as the configuration.

        If the outcome of a call is unknown, repeat it with the same change id.

        Example: ``worksramp config publish --node 127.0.0.1:8101 --key K --file litoral.toml
        --expected_revision 0``
        """
        try:
            document = tomllib.loads(Path(file).read_text(encoding="utf-8"))
        except (OSError, tomllib.TOMLDecodeError) as error:
            _exit_with(EXIT_USAGE, f"{file}: {error}")
            raise
        change = {
            "change_id": change_id or uuid.uuid4().hex,
            "expected_revision": expected_revision,
            "document": document,
        }
        print(_Api(node, key).request("PUT", "/v1/configuration", msgspec.json.encode(change)).decode())


class JobCommands:
    """Store prompts and show jobs."""

    def prompts(self, node: str, key: str, file: str) -> None:
        """Store the prompts of a file, one per line, and print the name of the prompt set."""
        try:
            lines = Path(file).read_text(encoding="utf-8").splitlines()
        except OSError as error:
            _exit_with(EXIT_USAGE, f"{file}: {error}")
            raise
        body = msgspec.json.encode({"prompts": [line for line in lines if line]})
        print(_Api(node, key).request("POST", "/v1/prompts", body).decode())

    def show(self, node: str, key: str, job: str) -> None:
        """Print the state of a job.

        Example: ``worksramp job show --node 127.0.0.1:8101 --key K --job J``
        """
        print(_Api(node, key).request("GET", f"/v1/jobs/{job}").decode())


class Commands:
    """worksramp: a rollout service for reinforcement learning beside live traffic."""

    def __init__(self) -> None:
        self.config = ConfigCommands()
        self.job = JobCommands()

    def node(self, settings: str, **overrides: str) -> None:
        """Run a node.

        A flag with the name of a top-level setting overrides the setting.

        Example: ``worksramp node --settings node.toml --log_level debug``
        """
        try:
            checked = load_settings(settings, overrides)
        except SettingsError as error:
            _exit_with(EXIT_USAGE, str(error))
            raise
        for field in ("listen", "peer_listen"):
            reason = reason_cannot_listen(getattr(checked, field))
            if reason is not None:
                _exit_with(EXIT_USAGE, f"{settings}: {field}: {reason}")
        anyio.run(run_node, checked)

    def status(self, node: str, key: str) -> None:
        """Print the state of a node: members, shards that it serves, requests in flight."""
        print(_Api(node, key).request("GET", "/v1/status").decode())

    def steps(self, *files: str, grace_s: float = 0.0) -> None:
        """Print which groups of which steps were late and in which stage, from the log files of nodes.

        Example: ``worksramp steps node-1.log node-2.log --grace_s 0.7``
        """
        if not files:
            _exit_with(EXIT_USAGE, "files: name at least one log file")
        lines: list[str] = []
        for file in files:
            try:
                lines += Path(str(file)).read_text(encoding="utf-8", errors="replace").splitlines()
            except OSError as error:
                _exit_with(EXIT_USAGE, f"{file}: {error}")
        print(report(lines, grace_s))

    def drain(self, node: str, key: str) -> None:
        """Make a node drain and stop: hand over its shards and finish the requests in flight."""
        print(_Api(node, key).request("POST", "/v1/drain").decode())


def main() -> None:
    """Run the command line."""
    fire.Fire(Commands, name="worksramp")
