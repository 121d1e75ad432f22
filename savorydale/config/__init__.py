"""Loading and validation of the settings files of the processes."""
