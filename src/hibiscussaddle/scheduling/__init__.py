"""Decide what waits and what gives way when there is too little room."""
