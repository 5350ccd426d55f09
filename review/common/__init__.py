"""Stand-ins for the platform that the cases of the review share."""
