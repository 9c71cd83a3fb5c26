"""Durations of the agreement."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ConsensusTiming:
    """Durations and bounds of the agreement, in seconds unless the name says otherwise.

    :ivar heartbeat_s: longest pause between two requests of a leader to a peer.
    :ivar call_timeout_s: how long a leader or candidate waits for one reply.
    :ivar snapshot_timeout_s: how long a leader waits until a peer has taken a snapshot.
    :ivar quorum_lease_s: how long a follower supports no other leader after it took a request.
    :ivar clock_drift_ratio: bound of the rate error of any clock against true time.
    :ivar election_timeout_min_s: shortest silence of the leader before an election.
    :ivar election_timeout_max_s: longest such silence.
    :ivar leader_without_lease_s: a leader steps down after so long without its quorum lease.
    :ivar discovery_interval_s: pause between two searches for the group.
    :ivar discovery_silence_s: silence of the leader after which a node searches for the group.
    :ivar every_lease_s: longer than every lease that an ended leader can have left behind.
    :ivar survivor_precedence_s: how much longer others wait for a survivor with a longer log.
    :ivar recovery_read_interval_s: shortest pause between two reads of the checkpoint row by a
        node that finds no leader.
    :ivar membership_interval_s: pause between two looks of the leader at the membership.
    :ivar live_peer_s: a peer counts as live for so long after its last reply.
    :ivar replace_silent_voter_s: silence after which a voter is replaced by a learner.
    :ivar remove_silent_learner_s: silence after which a learner is dropped.
    :ivar machine_list_interval_s: shortest pause between two reads of the machine list.
    :ivar machine_list_lag_s: longest time by which the machine list lags for any reader.
    :ivar max_voters: most voters of a group.
    :ivar caught_up_entries: a learner with at most so many entries missing may become a voter.
    :ivar checkpoint_interval_s: pause between two checkpoints.
    :ivar generation_check_s: longest time between two looks of a leader at the checkpoint row.
    :ivar transfer_s: longest time that a planned stop spends on handing leadership over.
    :ivar leave_s: longest time that a planned stop spends on leaving the configuration.
    :ivar append_batch_bytes: bytes of entries after which a request is full.
    :ivar kept_entries: applied entries kept in memory for peers that lag.
    """

    heartbeat_s: float = 0.15
    call_timeout_s: float = 0.4
    snapshot_timeout_s: float = 5.0
    quorum_lease_s: float = 0.8
    clock_drift_ratio: float = 0.01
    election_timeout_min_s: float = 0.9
    election_timeout_max_s: float = 1.4
    leader_without_lease_s: float = 2.0
    discovery_interval_s: float = 0.3
    discovery_silence_s: float = 2.0
    every_lease_s: float = 4.0
    survivor_precedence_s: float = 3.0
    recovery_read_interval_s: float = 0.5
    membership_interval_s: float = 0.2
    live_peer_s: float = 1.0
    replace_silent_voter_s: float = 5.0
    remove_silent_learner_s: float = 10.0
    machine_list_interval_s: float = 1.0
    machine_list_lag_s: float = 15.0
    max_voters: int = 5
    caught_up_entries: int = 16
    checkpoint_interval_s: float = 0.5
    generation_check_s: float = 1.0
    transfer_s: float = 2.0
    leave_s: float = 3.0
    append_batch_bytes: int = 1024 * 1024
    kept_entries: int = 512
