"""What dispatchers hold together, within bounds while part of the fleet hears nothing."""
