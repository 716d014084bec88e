/* Quorums of an even group in which replicas are known to have lost their disks, and the removal of a voter that is only silent.
 *
 * Four replicas elect leaders and commit entries, as in ledger.pml. A host that has lost its disk comes back and says so, which retires its
 * former replica. A candidate settles at the start of its term which replicas it counts as retired; with at least one, half of the four
 * voters are a quorum, and retired ones count for nothing. A leader may remove replica 3, which need not be lost: first an entry that takes a
 * quorum of both groups for all decisions, and once that is committed, an entry that leaves the three others alone. A replica acts by
 * the latest of these entries in its log. Returning replicas are not in the model: they join as learners.
 *
 * Properties: at most one entry is committed at an index; a new leader has all committed entries; a term has at most one leader.
 *
 * Variants that must fail:
 *   -DREACHED          asserts that no leader is elected by half of the voters
 *   -DLATE_RETIREMENT  a candidate or leader counts replicas as retired that were not when its term began
 *   -DNO_TRANSITION    the three other voters decide alone as soon as the removal is in the log
 */

#define REPLICAS 4
#ifndef LAST_TERM
#define LAST_TERM 2
#endif
#define LAST_INDEX 2
#define MAX_DISK_LOSSES 2

#define COMMAND 0
#define TRANSITION 1
#define SETTLEMENT 2
/* An entry is its term and its kind; zero means that there is none. */
#define ENTRY(inTerm, kind) ((inTerm) * 4 + (kind))
#define TERM_OF(entry) ((entry) / 4)
#define KIND_OF(entry) ((entry) % 4)
#define ENTRY_AT(r, i) log[(r) * LAST_INDEX + (i) - 1]
#define MATCH(l, f) matchIndex[(l) * REPLICAS + (f)]
#define BIT(r) (1 << (r))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))

/* Durable state. */
byte term[REPLICAS];
byte vote[REPLICAS];
byte log[8];
byte logLength[REPLICAS];
byte dead; /* bit set of the replicas whose disks are lost */

/* Volatile state. */
bool isLeader[REPLICAS];
bool isCandidate[REPLICAS];
byte votesReceived[REPLICAS];
byte retired[REPLICAS]; /* what a candidate or leader counts as retired */
byte matchIndex[16];
byte commitIndex[REPLICAS];

/* State for the assertions only. */
byte committedEntry[LAST_INDEX];
byte committedInTerm[LAST_INDEX];
byte leaderOf[4];

#define IS_DEAD(r) ((dead & BIT(r)) != 0)
#define LAST_ENTRY(r) (logLength[r] == 0 -> 0 : ENTRY_AT(r, logLength[r]))
#define HAS_KIND(r, kind) ((logLength[r] >= 1 && KIND_OF(ENTRY_AT(r, 1)) == kind) || (logLength[r] >= 2 && KIND_OF(ENTRY_AT(r, 2)) == kind))
#define IS_QUORUM_OF_FOUR(set, r) (COUNT((set) & (15 - retired[r])) >= (retired[r] != 0 -> 2 : 3))
#define IS_QUORUM_OF_THREE(set, r) (COUNT((set) & 7 & (15 - retired[r])) >= 2)
#ifdef NO_TRANSITION
#define IS_QUORUM(set, r) (HAS_KIND(r, TRANSITION) -> IS_QUORUM_OF_THREE(set, r) : IS_QUORUM_OF_FOUR(set, r))
#else
#define IS_QUORUM(set, r) ((HAS_KIND(r, SETTLEMENT) || IS_QUORUM_OF_FOUR(set, r)) && (!HAS_KIND(r, TRANSITION) || IS_QUORUM_OF_THREE(set, r)))
#endif

inline stepDown(r) {
    isLeader[r] = false;
    isCandidate[r] = false;
    votesReceived[r] = 0;
    retired[r] = 0;
    commitIndex[r] = 0;
    MATCH(r, 0) = 0;
    MATCH(r, 1) = 0;
    MATCH(r, 2) = 0;
    MATCH(r, 3) = 0
}

inline checkNewLeader(r) {
    assert(leaderOf[term[r]] == 0 || leaderOf[term[r]] == r + 1);
    leaderOf[term[r]] = r + 1;
    assert(committedEntry[0] == 0 || committedInTerm[0] >= term[r] || (logLength[r] >= 1 && ENTRY_AT(r, 1) == committedEntry[0]));
    assert(committedEntry[1] == 0 || committedInTerm[1] >= term[r] || (logLength[r] >= 2 && ENTRY_AT(r, 2) == committedEntry[1]));
#ifdef REACHED
    assert(COUNT(votesReceived[r]) > 2 || HAS_KIND(r, SETTLEMENT))
#endif
}

inline recordCommit(r, index) {
    assert(committedEntry[index - 1] == 0 || committedEntry[index - 1] == ENTRY_AT(r, index));
    if
    :: committedEntry[index - 1] == 0 ->
        committedEntry[index - 1] = ENTRY_AT(r, index);
        committedInTerm[index - 1] = term[r]
    :: else
    fi
}

proctype Replica(byte self) {
    byte other, acknowledged;
    do
    /* Starts an election, and settles who is retired: those that it knows to be. */
    :: atomic {
        !IS_DEAD(self) && !isLeader[self] && term[self] < LAST_TERM ->
        stepDown(self);
        term[self]++;
        vote[self] = self + 1;
        isCandidate[self] = true;
        votesReceived[self] = BIT(self);
        if
        :: true
        :: dead != 0 -> retired[self] = dead
        fi
    }
#ifdef LATE_RETIREMENT
    :: atomic {
        (isCandidate[self] || isLeader[self]) && dead != 0 ->
        select(other : 0 .. 3);
        if
        :: IS_DEAD(other) -> retired[self] = retired[self] | BIT(other)
        :: else
        fi;
        other = 0
    }
#endif
    /* Requests the vote of another replica, which grants it if it may. */
    :: atomic {
        isCandidate[self] ->
        select(other : 0 .. 3);
        if
        :: other != self && !IS_DEAD(other) && (term[other] < term[self] || (term[other] == term[self] && (vote[other] == 0 || vote[other] == self + 1))) && (TERM_OF(LAST_ENTRY(self)) > TERM_OF(LAST_ENTRY(other)) || (TERM_OF(LAST_ENTRY(self)) == TERM_OF(LAST_ENTRY(other)) && logLength[self] >= logLength[other])) ->
            if
            :: term[other] < term[self] -> stepDown(other)
            :: else
            fi;
            term[other] = term[self];
            vote[other] = self + 1;
            votesReceived[self] = votesReceived[self] | BIT(other)
        :: else
        fi;
        other = 0
    }
    /* A candidate with the votes of a quorum becomes the leader. */
    :: atomic {
        isCandidate[self] && IS_QUORUM(votesReceived[self], self) ->
        isCandidate[self] = false;
        isLeader[self] = true;
        checkNewLeader(self);
        votesReceived[self] = 0
    }
    /* The leader appends an entry and stores it in the same step. */
    :: atomic {
        isLeader[self] && logLength[self] < LAST_INDEX ->
        if
        :: logLength[self]++; ENTRY_AT(self, logLength[self]) = ENTRY(term[self], COMMAND)
        :: !HAS_KIND(self, TRANSITION) -> logLength[self]++; ENTRY_AT(self, logLength[self]) = ENTRY(term[self], TRANSITION)
        :: HAS_KIND(self, TRANSITION) && !HAS_KIND(self, SETTLEMENT) && commitIndex[self] == logLength[self] -> logLength[self]++; ENTRY_AT(self, logLength[self]) = ENTRY(term[self], SETTLEMENT)
        fi
    }
    /* The leader sends its log to another replica, which stores and acknowledges it. */
    :: atomic {
        isLeader[self] ->
        select(other : 0 .. 3);
        if
        :: other != self && !IS_DEAD(other) && term[other] <= term[self] && (!isLeader[other] || term[other] < term[self]) ->
            if
            :: term[other] < term[self] -> stepDown(other); term[other] = term[self]; vote[other] = 0
            :: else -> isCandidate[other] = false; votesReceived[other] = 0; retired[other] = 0
            fi;
            if
            :: vote[other] == 0 -> vote[other] = self + 1
            :: else
            fi;
            logLength[other] = logLength[self];
            ENTRY_AT(other, 1) = ENTRY_AT(self, 1);
            ENTRY_AT(other, 2) = ENTRY_AT(self, 2);
            MATCH(self, other) = logLength[self]
        :: else
        fi;
        other = 0
    }
    /* The leader commits entries that a quorum has stored, if the last one is of its own term. */
    :: atomic {
        isLeader[self] && logLength[self] > 0 && TERM_OF(LAST_ENTRY(self)) == term[self] && commitIndex[self] < logLength[self] ->
        acknowledged = BIT(self);
        other = 0;
        do
        :: other < REPLICAS ->
            if
            :: other != self && MATCH(self, other) == logLength[self] -> acknowledged = acknowledged | BIT(other)
            :: else
            fi;
            other++
        :: else -> break
        od;
        if
        :: IS_QUORUM(acknowledged, self) ->
            commitIndex[self] = logLength[self];
            recordCommit(self, 1);
            if
            :: logLength[self] == 2 -> recordCommit(self, 2)
            :: else
            fi
        :: else
        fi;
        acknowledged = 0;
        other = 0
    }
    od
}

active proctype Faults() {
    byte victim;
    do
    :: atomic {
        COUNT(dead) < MAX_DISK_LOSSES ->
        select(victim : 0 .. 3);
        if
        :: !IS_DEAD(victim) ->
            dead = dead | BIT(victim);
            stepDown(victim);
            term[victim] = 0;
            vote[victim] = 0;
            logLength[victim] = 0;
            ENTRY_AT(victim, 1) = 0;
            ENTRY_AT(victim, 2) = 0
        :: else
        fi;
        victim = 0
    }
    od
}

init {
    atomic {
        run Replica(0);
        run Replica(1);
        run Replica(2);
        run Replica(3)
    }
}
