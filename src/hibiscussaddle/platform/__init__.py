"""Translation between the hosting platform's wire formats and our types."""
