"""The interface of an extension, as the service uses it.

This module imports neither the service nor an extension, so that both may import it. An extension's module
has a function read(node), which converts its node of the extensions document into settings, and a class At,
which applies them in a dispatcher; the module of a node that concerns no dispatcher (control) has no such
class. The service calls its extensions in the order of wickvane.parts.EXTENSION_MODULES and mentions none by
name.
"""


class Part:
    """An extension in one dispatcher, made from its node of the extensions document.

    The methods are called once each, in the order in which they stand here, except those for a reload (check,
    change) and status. The methods up to open() may raise ConfigError.
    """

    name = ""  # of the node
    threads = 0  # number of threads that it keeps for as long as the dispatcher runs

    def __init__(self, terms):
        """terms: the settings that read() made of the node."""
        self.terms = terms

    def prepare(self, service, config):
        """Called before the raw configuration is parsed; sets client protocols or the source of endpoints."""

    def build(self, service, config):
        """Called once the configuration is parsed (service.registry), before decider and links are made."""

    def join(self, service, config):
        """Called once decider and links are made."""

    def open(self, service):
        """Opens listening sockets and files. No thread runs yet."""

    def start(self, service):
        """Starts its threads. The threads of the decider and the links run; the coordinator's follows."""

    def settled(self, service):
        """Called when all other threads run."""

    def check(self, terms):
        """Checks new settings at a reload (SIGHUP), before any of them takes effect.

        Returns what change() needs as `ready`. Raises parts.InvalidDocumentError if they need a restart.
        """
        if terms != self.terms:
            from wickvane import parts  # only with a document: a dispatcher without one does not load it

            raise parts.InvalidDocumentError(f"{self.name}: a change of it needs a restart")

    def change(self, terms, ready):
        """Applies new settings after all extensions' checks have passed. Must not fail.

        ready: what check() returned.
        """
        self.terms = terms

    def status(self):
        """Returns the extension's field in the log event of the counters, or None for none."""

    def leave(self, service):
        """Called at SIGTERM, while clients are still served. Must not wait."""

    def stop(self):
        """Called when no session is open any more."""
