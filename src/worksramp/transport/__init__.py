"""Messages between worksramp nodes, and their transport."""
