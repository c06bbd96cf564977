"""Error for settings that cannot be used, shared by the readers of all settings files."""


class SettingsError(Exception):
    """The settings cannot be used.

    Attributes:
        file: path of the settings file.
        path: path of the field in the file, for example ``store.address``.
        reason: what is wrong with the field, in one line.
    """

    def __init__(self, file: str, path: str, reason: str) -> None:
        super().__init__(f"{file}: {path}: {reason}")
        self.file = file
        self.path = path
        self.reason = reason
