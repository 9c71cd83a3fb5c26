"""Datagrams between gateways: beats of the leader, load of servers, sampled keys."""
