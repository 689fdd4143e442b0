"""The identity of one run of a dispatcher process."""

# The dispatcher's name and epoch. A restarted dispatcher is a new incarnation with a later epoch.
Incarnation = tuple[str, int]
