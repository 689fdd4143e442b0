"""The one shape of what the parts document turns on.

Below the service and all parts, so that either may import it. A part's module has read(node), which makes
plain figures of the document, and the class At, which puts them to work in a dispatcher; a node that is no
dispatcher's (control) has none. The service goes through its parts in the order of
wickvane.parts.EXTENSION_MODULES and knows none of them by name.
"""


class Part:
    """One node of the parts document in one dispatcher: each step is called once, in this order, but those
    of a reload. Raises ConfigError up to start()."""

    name = ""
    threads = 0  # it holds for good

    def __init__(self, terms):
        """terms: what read() made of the node."""
        self.terms = terms

    def prepare(self, service, found):
        """Before the configuration `found` is understood: which fronts, which list of engines."""

    def build(self, service, found):
        """The configuration is understood (service.registry); decider and links are not made yet."""

    def join(self, service, found):
        """Decider and links are made."""

    def open(self, service):
        """Its addresses and files are taken; no thread runs yet."""

    def start(self, service):
        """Its threads. The decider's and the keeper's run, and the coordinator's follows."""

    def settled(self, service):
        """All else runs."""

    def check(self, terms):
        """At SIGHUP, before anything acts: parts.InvalidDocumentError where `terms` need a restart. What it
        returns is handed to change()."""
        if terms != self.terms:
            from wickvane import parts  # only with a document: a dispatcher without one has nothing of it

            raise parts.InvalidDocumentError(f"{self.name}: a change of it needs a restart")

    def change(self, terms, ready):
        """All parts were checked: takes effect, and cannot fail."""
        self.terms = terms

    def status(self):
        """What the line of counters says of it, or None."""

    def leave(self, service):
        """SIGTERM has come; clients are still served. Must not wait."""

    def stop(self):
        """Nothing is open any more."""
