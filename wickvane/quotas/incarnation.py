"""How one start of a dispatcher is identified."""

# Name and epoch. A dispatcher that restarts is a new incarnation with a later epoch.
Incarnation = tuple[str, int]
