"""Fakes of the hosting platform, written from its published protocol."""
