"""Small fakes of the platform, model engines and plain services."""
