"""What control traffic costs one scheduler, measured on real scheduler processes among stand-ins for the rest."""
