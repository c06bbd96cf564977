"""Error of unusable settings, shared by all kinds of settings files."""


class SettingsError(Exception):
    """The settings cannot be used.

    Attributes:
        file: the settings file.
        path: path of the field in the file.
    """

    def __init__(self, file: str, path: str, reason: str) -> None:
        super().__init__(f"{file}: {path}: {reason}")
        self.file = file
        self.path = path
        self.reason = reason
