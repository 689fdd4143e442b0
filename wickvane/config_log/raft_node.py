"""One node of a Raft cluster (Ongaro and Ousterhout 2014); uses no socket, clock, file or thread.

The node supports pre-votes and single-server membership changes. Its caller passes the time and the received
messages, and carries out the returned effects in order (messages.Effect).

No two different entries are committed at one index, for these reasons. A vote is on disk before it is sent. A
node grants one vote per term, and only to a candidate whose log is at least as up to date as its own. An
entry is committed when a majority of the leader's current voters has it on disk and it is of the leader's own
term. Entries of the log change the voters: each adds or removes one voter and is in force as soon as it is in
the log, and the next may be appended only once it is committed, so any two successive majorities share a
voter.

A node that has lost its disk must not vote again under its former identity. It gets a new node id and starts
as a non-voting member: it replicates the log, and votes once an entry of the log has added it to the voters.

Times are ticks of a clock that does not step.
"""

from collections.abc import Collection, Iterable, Sequence
from enum import Enum
from random import Random
from typing import NamedTuple, assert_never

from wickvane.config_log.errors import InvalidTransitionError
from wickvane.config_log.log_entry import ChangeVoters, Command, LogEntry, NoOp, PersistentState
from wickvane.config_log.messages import (
    AppendEntries,
    AppendEntriesResponse,
    CommitEntry,
    Effect,
    Message,
    PersistState,
    RequestVote,
    SendMessage,
    VoteResponse,
)
from wickvane.config_log.peer_progress import PeerProgress
from wickvane.config_log.replicated_log import ReplicatedLog
from wickvane.units import TICKS_PER_SECOND

# A follower that receives nothing from a leader for a random time between these two requests votes.
MIN_ELECTION_TIMEOUT = 3 * TICKS_PER_SECOND // 2
MAX_ELECTION_TIMEOUT = 3 * TICKS_PER_SECOND
HEARTBEAT_INTERVAL = TICKS_PER_SECOND // 2
MAX_ENTRIES_PER_MESSAGE = 16


class Role(Enum):
    """The role of a node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


_NEXT_ROLES = {
    Role.FOLLOWER: {Role.FOLLOWER, Role.PRE_CANDIDATE},
    Role.PRE_CANDIDATE: {Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER},
    Role.LEADER: {Role.FOLLOWER},
}


class Proposal(NamedTuple):
    """The index of a command that a leader appended, and the effects to carry out."""

    index: int
    effects: list[Effect]


class RaftNode:
    """The consensus state of one node, and its handling of messages and timers."""

    def __init__(
        self,
        now: int,
        node_id: str,
        initial_voters: Iterable[str],
        random: Random,
        state: PersistentState | None = None,
    ) -> None:
        """Starts as a follower.

        initial_voters: node ids, in force until the log changes them; state: the state that was last
        persisted, or None if the disk is empty.
        """
        state = state or PersistentState()
        self.now = now
        self.node_id = node_id
        self.initial_voters = tuple(initial_voters)
        self.random = random
        # Persistent state
        self.current_term = state.current_term
        self.voted_for = state.voted_for
        self.log = ReplicatedLog(state.entries)
        # Volatile state
        self.commit_index = 0
        self.role = Role.FOLLOWER
        self.leader: str | None = None
        self.votes_received: set[str] = set()
        self.last_leader_contact = now
        self.next_heartbeat_at = now
        self.election_deadline = now + self._election_timeout()
        self.is_halted = False
        self.peer_progress: dict[str, PeerProgress] = {}  # by node id; used by a leader only

    @property
    def is_leader(self) -> bool:
        """Returns whether this node is the leader of its term."""
        return self.role is Role.LEADER

    def voters(self) -> tuple[str, ...]:
        """Returns the current voters: those of the last entry that changes them, committed or not."""
        voters = self.log.latest_voters()
        return self.initial_voters if voters is None else voters

    def is_quorum(self, node_ids: Collection[str]) -> bool:
        """Returns whether these nodes include a majority of the current voters."""
        voters = self.voters()
        return 2 * sum(voter in node_ids for voter in voters) > len(voters)

    def has_quorum_contact(self) -> bool:
        """Returns whether this is a leader that a majority responded to within MIN_ELECTION_TIMEOUT.

        Otherwise another leader may have been elected.
        """
        since = self.now - MIN_ELECTION_TIMEOUT
        responsive = {
            peer for peer, progress in self.peer_progress.items() if progress.responded_since(since)
        }
        return self.is_leader and self.is_quorum(responsive | {self.node_id})

    def halt(self) -> None:
        """Stops all processing until the node is restarted; called when its state could not be persisted."""
        self.is_halted = True

    def process_messages(self, now: int, received: Iterable[tuple[str, Message]] = ()) -> list[Effect]:
        """Handles received messages, each with its sender, then the timers; returns the effects in order."""
        self.now = now
        if self.is_halted:
            return []
        effects = []
        for sender, message in received:
            effects += self.handle_message(sender, message)
        return effects + self._check_timers()

    def handle_message(self, sender: str, message: Message) -> list[Effect]:
        """Handles one message at the time of the last call of process_messages."""
        match message:
            case RequestVote():
                return self._handle_request_vote(sender, message)
            case VoteResponse():
                return self._handle_vote_response(sender, message)
            case AppendEntries():
                return self._handle_append_entries(sender, message)
            case AppendEntriesResponse():
                return self._handle_append_entries_response(sender, message)
            case _:
                assert_never(message)

    def _check_timers(self) -> list[Effect]:
        if self.is_leader:
            return self._check_leader_timers()
        if self.now < self.election_deadline:
            return []
        self._reset_election_timer()
        return self.start_pre_vote() if self.node_id in self.voters() else []

    def _check_leader_timers(self) -> list[Effect]:
        if not self.has_quorum_contact() and self.now - self.last_leader_contact >= MAX_ELECTION_TIMEOUT:
            # Partitioned from the majority, which may have elected another leader.
            return self._become_follower(self.current_term, None)
        if self.now < self.next_heartbeat_at:
            return []
        self.next_heartbeat_at = self.now + HEARTBEAT_INTERVAL
        return [self.append_entries_to(peer) for peer in self._peers()]

    def _election_timeout(self) -> int:
        return self.random.randrange(MIN_ELECTION_TIMEOUT, MAX_ELECTION_TIMEOUT)

    def _reset_election_timer(self) -> None:
        self.election_deadline = self.now + self._election_timeout()

    def _change_role(self, role: Role, leader: str | None) -> None:
        """Changes the role and resets the state of the new role; no other method changes the role.

        Raises InvalidTransitionError if the current role does not allow the new one.
        """
        if role not in _NEXT_ROLES[self.role]:
            raise InvalidTransitionError(self.role, role)
        self.role = role
        self.leader = leader
        match role:
            case Role.PRE_CANDIDATE | Role.CANDIDATE:
                self.votes_received = {self.node_id}
            case Role.LEADER:
                self.last_leader_contact = self.now
                self.peer_progress = {
                    voter: PeerProgress(len(self.log) + 1) for voter in self.voters() if voter != self.node_id
                }

    def _become_follower(self, term: int, leader: str | None) -> list[Effect]:
        self._change_role(Role.FOLLOWER, leader)
        effects = []
        if term > self.current_term:
            self.current_term = term
            self.voted_for = None
            effects.append(self._persist_state())
        self._reset_election_timer()
        return effects

    def start_pre_vote(self) -> list[Effect]:
        """Asks the voters whether they would elect this node, before it begins a new term.

        Pre-votes prevent a node that was partitioned from disturbing the others with its higher term.
        """
        self._change_role(Role.PRE_CANDIDATE, None)
        return self._request_votes(self.current_term + 1, pre_vote=True)

    def _become_candidate(self) -> list[Effect]:
        self._change_role(Role.CANDIDATE, None)
        self.current_term += 1
        self.voted_for = self.node_id
        return [self._persist_state(), *self._request_votes(self.current_term, pre_vote=False)]

    def _become_leader(self) -> list[Effect]:
        self._change_role(Role.LEADER, self.node_id)
        # Entries of earlier terms are committed only by an entry of this term (section 5.4.2).
        return self._append_command(NoOp())

    def _request_votes(self, term: int, pre_vote: bool) -> list[Effect]:
        if self.is_quorum(self.votes_received):
            return self._win_vote(pre_vote)
        last = self.log.last_position()
        request = RequestVote(term, last.term, last.index, pre_vote)
        return [SendMessage(voter, request) for voter in self.voters() if voter != self.node_id]

    def _win_vote(self, pre_vote: bool) -> list[Effect]:
        return self._become_candidate() if pre_vote else self._become_leader()

    def _handle_request_vote(self, sender: str, request: RequestVote) -> list[Effect]:
        up_to_date = (request.last_log_term, request.last_log_index) >= self.log.last_position()
        if request.pre_vote:
            return [self._answer_pre_vote(sender, request, up_to_date)]
        effects = []
        if request.term > self.current_term:
            effects += self._become_follower(request.term, None)
        granted = (
            request.term == self.current_term
            and up_to_date
            and self.voted_for in (None, sender)
            and self.node_id in self.voters()
        )
        if granted and self.voted_for is None:
            self.voted_for = sender
            self._reset_election_timer()
            effects.append(self._persist_state())
        effects.append(SendMessage(sender, VoteResponse(self.current_term, granted, pre_vote=False)))
        return effects

    def _answer_pre_vote(self, sender: str, request: RequestVote, up_to_date: bool) -> Effect:
        if request.term <= self.current_term:
            # The response informs the sender of the later term. Otherwise the only node with the newest log
            # could keep requesting votes for an old term, and no other node could be elected.
            return SendMessage(sender, VoteResponse(self.current_term, vote_granted=False, pre_vote=False))
        leader_timed_out = self.now - self.last_leader_contact >= MIN_ELECTION_TIMEOUT and not self.is_leader
        granted = up_to_date and leader_timed_out
        return SendMessage(sender, VoteResponse(request.term, granted, pre_vote=True))

    def _handle_vote_response(self, sender: str, response: VoteResponse) -> list[Effect]:
        if response.term > self.current_term and not response.pre_vote:
            return self._become_follower(response.term, None)
        if response.pre_vote:
            expected = (Role.PRE_CANDIDATE, self.current_term + 1)
        else:
            expected = (Role.CANDIDATE, self.current_term)
        if not response.vote_granted or (self.role, response.term) != expected:
            return []
        self.votes_received.add(sender)
        return self._win_vote(response.pre_vote) if self.is_quorum(self.votes_received) else []

    def propose(self, command: Command) -> Proposal | None:
        """Appends a command to the leader's log.

        Returns None if this node is not the leader, or if the command changes the voters in a way that is not
        allowed now.
        """
        if not self.is_leader:
            return None
        if isinstance(command, ChangeVoters) and not self._may_change_voters(command.voters):
            return None
        effects = self._append_command(command)
        return Proposal(len(self.log), effects)

    def _may_change_voters(self, voters: Sequence[str]) -> bool:
        """Returns whether the change adds or removes one voter and no other change is pending.

        The leader must also have committed an entry of its own term.
        """
        is_single_change = len(set(self.voters()) ^ set(voters)) == 1
        is_pending = self.log.changes_voters_after(self.commit_index)
        has_committed = self.log.term_at(self.commit_index) == self.current_term
        return is_single_change and not is_pending and has_committed and bool(voters)

    def _append_command(self, command: Command) -> list[Effect]:
        self.log.append(LogEntry(self.current_term, command))
        effects = [self._persist_state()]
        for peer in self._peers():
            if peer not in self.peer_progress:
                self.peer_progress[peer] = PeerProgress(len(self.log))
            effects.append(self.append_entries_to(peer))
        return effects + self._advance_commit_index()

    def _peers(self) -> list[str]:
        """Returns the nodes that a leader replicates to: voters, and removed or non-voting members."""
        return [node for node in dict.fromkeys((*self.voters(), *self.peer_progress)) if node != self.node_id]

    def append_entries_to(self, peer: str) -> SendMessage:
        """Returns a message with the next entries for a peer, or a heartbeat if the peer has all entries."""
        progress = self.peer_progress.get(peer)
        next_index = progress.next_index if progress else len(self.log) + 1
        request = AppendEntries(
            term=self.current_term,
            previous_log_index=next_index - 1,
            previous_log_term=self.log.term_at(next_index - 1),
            entries=self.log.entries_from(next_index, MAX_ENTRIES_PER_MESSAGE),
            leader_commit=self.commit_index,
        )
        return SendMessage(peer, request)

    def _handle_append_entries(self, sender: str, request: AppendEntries) -> list[Effect]:
        if request.term < self.current_term:
            return [self._append_response(sender, success=False, match_index=0)]
        effects = []
        follows_sender = self.role is Role.FOLLOWER and self.leader == sender
        if request.term > self.current_term or not follows_sender:
            effects += self._become_follower(request.term, sender)
        self.last_leader_contact = self.now
        self._reset_election_timer()
        previous_index = request.previous_log_index
        if not self.log.contains(previous_index, request.previous_log_term):
            bound = min(previous_index, len(self.log) + 1) - 1
            return [*effects, self._append_response(sender, success=False, match_index=bound)]
        if self.log.replicate(previous_index, request.entries):
            effects.append(self._persist_state())
        last_index = previous_index + len(request.entries)
        effects += self._commit_up_to(min(request.leader_commit, last_index))
        effects.append(self._append_response(sender, success=True, match_index=last_index))
        return effects

    def _append_response(self, leader: str, success: bool, match_index: int) -> SendMessage:
        return SendMessage(leader, AppendEntriesResponse(self.current_term, success, match_index))

    def _handle_append_entries_response(self, sender: str, response: AppendEntriesResponse) -> list[Effect]:
        if response.term > self.current_term:
            return self._become_follower(response.term, None)
        progress = self.peer_progress.get(sender)
        if not self.is_leader or response.term < self.current_term or progress is None:
            return []
        progress.last_response_at = self.now
        if not response.success:
            progress.record_conflict(response.match_index)
            return [self.append_entries_to(sender)]
        progress.record_success(response.match_index)
        effects = self._advance_commit_index()
        if progress.next_index <= len(self.log):
            effects.append(self.append_entries_to(sender))
        return effects

    def _advance_commit_index(self) -> list[Effect]:
        """Commits up to the last entry of this leader's term that a majority of the voters has."""
        for index in range(len(self.log), self.commit_index, -1):
            replicas = {
                peer for peer, progress in self.peer_progress.items() if progress.match_index >= index
            }
            replicas.add(self.node_id)
            if self.log.term_at(index) == self.current_term and self.is_quorum(replicas):
                return self._commit_up_to(index)
        return []

    def _commit_up_to(self, index: int) -> list[Effect]:
        effects = []
        while self.commit_index < index:
            self.commit_index += 1
            effects.append(CommitEntry(self.commit_index, self.log.entry_at(self.commit_index)))
        return effects

    def _persist_state(self) -> PersistState:
        return PersistState(PersistentState(self.current_term, self.voted_for, tuple(self.log.entries)))
