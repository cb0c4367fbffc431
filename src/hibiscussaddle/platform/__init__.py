"""Translation between the platform's wire formats and internal types."""
