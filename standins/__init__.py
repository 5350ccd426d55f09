"""Stand-ins for the platform, the targets and the clients, for tests and benches."""
