"""Messages between worksramp nodes."""
