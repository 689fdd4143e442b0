"""Membership from watched files: checked, applied whole, kept, rolled back. docs/members.md."""
