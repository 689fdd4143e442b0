"""Stores a node's id and persistent state on disk, in one file that is replaced atomically.

A new file is written beside the old one, synced, and renamed over it; the folder is synced before save()
returns. The votes in a file that cannot be read completely are unknown, so the node gets a new node id. Hence
it never votes twice in a term.
"""

import os
from pathlib import Path

from wickvane.config_log.errors import VoteFileError
from wickvane.config_log.log_entry import PersistentState
from wickvane.config_log.vote_codec import VoteRecord, decode_vote_file, encode_vote_file

FILE_NAME = "vote"
MAX_FILE_BYTES = 64 << 20
NODE_ID_RANDOM_BYTES = 8
FOLDER_MODE = 0o700


class VoteStore:
    """The state folder of one process.

    is_new: whether the node id was just created; such a node becomes a voter only when an entry of the log
    adds it, unless it is one of the initial voters. discard_reason: why an existing file could not be
    used, or None.
    """

    def __init__(self, folder: str | os.PathLike, name: str) -> None:
        """Loads the saved state, or creates a node id; name: the prefix of a new node id.

        Raises OSError if the folder cannot be used.
        """
        self._folder = Path(folder)
        self._path = self._folder / FILE_NAME
        self.discard_reason: str | None = None
        self._folder.mkdir(FOLDER_MODE, parents=True, exist_ok=True)
        record = self._load()
        self.is_new = record is None
        if record is None:
            self.node_id = f"{name}/{os.urandom(NODE_ID_RANDOM_BYTES).hex()}"
            self.save(PersistentState())
        else:
            self.node_id = record.node_id
            self.state = record.state

    def save(self, state: PersistentState) -> None:
        """Replaces the file; raises OSError if that fails, and the old file then stays."""
        data = encode_vote_file(VoteRecord(self.node_id, state))
        new_path = self._folder / f"{FILE_NAME}.new"
        with new_path.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        new_path.replace(self._path)
        self._sync_folder()
        self.state = state

    def _load(self) -> VoteRecord | None:
        """Returns the record on disk, or None if there is no file or it cannot be used."""
        try:
            with self._path.open("rb") as file:
                return decode_vote_file(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return None
        except VoteFileError as error:
            self.discard_reason = str(error)
            return None

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
