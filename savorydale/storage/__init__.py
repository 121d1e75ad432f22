"""The platform's table service and VM list, and the job scheduler's store of rows."""
