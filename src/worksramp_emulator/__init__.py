"""Stand-ins for the systems that worksramp serves, a load tool and a deterministic simulation."""
