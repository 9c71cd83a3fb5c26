"""Reports between gateways, as datagrams: heartbeats of the leader, server load, sampled keys."""
