"""Files as they lie on disk: what is there, when it has been still, and what it holds.

Stillness is free of I/O. A library tells that something happened in a folder; what did is always found out
by looking, so that a message lost (network mounts, replaced folders) costs no more than one poll.
"""

import os
import pwd
import stat
import threading

from wickvane.endpoints.findings import Unfit

PATIENCE = 50_000  # tenths of a millisecond after which a file that is never still is told of
ENDINGS = (".kdl", ".json")
STACK = 512 * 1024  # the library's own calls go deeper than a dispatcher's threads


class Stillness:
    """Which files have changed and been still since, all of them together. Times are tenths of a
    millisecond."""

    def __init__(self, still):
        self.still, self.last, self.taken = still, None, {}
        self.changed_at = self.since = 0
        self.restless = False

    def look(self, now, found):
        """(files to read, files that are gone, when to look again or None). found: {file: what tells one
        state of it from another}."""
        if found != self.last:
            if self.last == self.taken or self.last is None:
                self.since = now
            self.last, self.changed_at = found, now
        if found == self.taken:
            self.restless = False
            return (), (), None
        if now < self.changed_at + self.still:
            self.restless = now - self.since > PATIENCE
            return (), (), self.changed_at + self.still
        self.restless = False
        return (
            sorted(name for name, state in found.items() if self.taken.get(name) != state),
            sorted(name for name in self.taken if name not in found),
            None,
        )

    def took(self, file, state):
        """Nothing is read again until it differs from this; None: it is gone."""
        if state is None:
            self.taken.pop(file, None)
        else:
            self.taken[file] = state


def state_of(found):
    return (
        found.st_dev,
        found.st_ino,
        found.st_size,
        found.st_mtime_ns,
        found.st_ctime_ns,
        stat.S_IFMT(found.st_mode),
    )


def look(path, directory, most):
    """({file: state}, names passed over) of what is there now. Raises Unfit where the folder cannot be had,
    or holds more than `most` files."""
    if not directory:
        try:
            return {os.path.basename(path): state_of(os.stat(path))}, []
        except FileNotFoundError:
            return {}, []
        except OSError as error:
            return {os.path.basename(path): ("error", error.errno)}, []
    found, ignored = {}, []
    try:
        with os.scandir(path) as entries:
            for entry in entries:
                if entry.name.startswith("."):
                    continue
                if not entry.name.endswith(ENDINGS):
                    ignored.append(entry.name)
                    continue
                if len(found) >= most:
                    raise Unfit("too-many-parts", f"it holds more than {most} files", path)
                try:
                    found[entry.name] = state_of(entry.stat())
                except OSError as error:
                    found[entry.name] = ("error", error.errno)
    except FileNotFoundError:
        return {}, []
    except OSError as error:
        raise Unfit(
            "not-a-file" if isinstance(error, NotADirectoryError) else "unreadable",
            f"the folder cannot be read: {error.strerror}",
            path,
        ) from None
    return found, sorted(ignored)


def take(path, file, most):
    """(octets, state, who wrote it), None where it changed while it was read. Raises Unfit; blocks on
    nothing."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    except FileNotFoundError:
        raise Unfit("missing", "it is not there", file) from None
    except OSError as error:
        raise Unfit("unreadable", f"it cannot be opened: {error.strerror}", file) from None
    try:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            raise Unfit("not-a-file", "it is a folder, a pipe or a device", file)
        if before.st_size > most:
            raise Unfit("too-long", f"it has {before.st_size} octets of {most} at most", file)
        chunks, size = [], 0
        while size <= most and (chunk := os.read(descriptor, min(1 << 20, most + 1 - size))):
            chunks.append(chunk)
            size += len(chunk)
        if size > most:
            raise Unfit("too-long", f"it has more than {most} octets", file)
        if state_of(os.fstat(descriptor)) != state_of(before):
            return None
        return b"".join(chunks), state_of(before), writer_of(before.st_uid)
    except OSError as error:
        raise Unfit("unreadable", f"it cannot be read: {error.strerror}", file) from None
    finally:
        os.close(descriptor)


def writer_of(uid):
    try:
        return f"file of {pwd.getpwuid(uid).pw_name}"
    except KeyError:
        return f"file of user {uid}"


class Waker:
    """Sets an event when something happens in a folder, by the registry's watchfiles; where that cannot be
    had, the poll goes on alone."""

    def __init__(self, folders, woken, failed):
        self.folders, self.woken, self.failed, self.stopped = folders, woken, failed, threading.Event()

    def start(self):
        before = threading.stack_size(STACK)
        try:
            threading.Thread(target=self.run, name="members-watch", daemon=True).start()
        except RuntimeError as error:  # no thread to be had
            self.failed(str(error))
        finally:
            threading.stack_size(before)

    def run(self):
        try:
            from watchfiles import watch

            folders = [folder for folder in self.folders if os.path.isdir(folder)]
            for _ in watch(
                *folders,
                watch_filter=None,
                debounce=50,
                step=20,
                stop_event=self.stopped,
                rust_timeout=60_000,
                yield_on_timeout=True,
                recursive=False,
                raise_interrupt=False,
            ):
                self.woken.set()
        except Exception as error:  # no such library, no watches left, a folder that is gone
            self.failed(f"{type(error).__name__}: {error}")

    def stop(self):
        self.stopped.set()
