"""One policy everywhere or nowhere: an agreed log, leases on its numbers, taking hold, undoing."""
