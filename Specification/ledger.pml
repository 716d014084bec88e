/* Leader election and commitment in the ledger, with crashes and lost disks.
 *
 * The model has three replicas. Each step is a local step of one replica or a message exchange between two; a lost or delayed
 * message or a partition is a step that is taken later, or never. A replica stores state in the same step in which it
 * acknowledges it, except in the variant EARLY_ANSWER. A replica that lost its disk returns as a learner, and an established
 * leader promotes it after it has replicated everything that is committed. The quorum is two in every membership that the
 * ledger passes through ({A,B,C}, {A,B} and {A,B,C'}), so the model keeps a voter flag for each replica instead of membership
 * entries.
 *
 * Properties: at most one entry is committed at an index; a new leader has all committed entries; a term has at most one
 * leader.
 *
 * Variants that must fail:
 *   -DREACHED       asserts that two entries are never committed after a disk was lost, which shows that the search reaches
 *                   this case
 *   -DNO_REMOVAL    a learner is promoted before the removal of its former identity is committed
 *   -DOLD_IDENTITY  a replica that lost its disk continues as a voter
 *   -DEARLY_ANSWER  an append is acknowledged before the entry is stored, and a crash loses the entry
 */

#define REPLICAS 3
#define QUORUM 2
#define LAST_TERM 3
#define LAST_INDEX 2
#define MAX_CRASHES 2
#define MAX_DISK_LOSSES 2

/* Durable state. A log contains the terms of its entries; zero means that there is no entry. */
byte term[REPLICAS];
byte vote[REPLICAS];
byte log[6]; /* [replica * LAST_INDEX + index - 1] */
byte logLength[REPLICAS];
bool isVoter[REPLICAS];

/* Volatile state. */
bool isLeader[REPLICAS];
bool isCandidate[REPLICAS];
byte votesReceived[REPLICAS];   /* bit set of the replicas that voted for the candidate */
byte matchIndex[9];             /* [leader * REPLICAS + follower] */
byte unsyncedEntries[REPLICAS]; /* number of entries at the end of the log that a crash loses */
byte commitIndex[REPLICAS];     /* commit index of the leader */

/* State for the assertions only. */
byte committedEntry[LAST_INDEX];
byte committedInTerm[LAST_INDEX]; /* term in which the entry was first committed */
byte leaderOf[4];
byte crashesLeft = MAX_CRASHES;
byte diskLossesLeft = MAX_DISK_LOSSES;

#define TERM_AT(r, i) log[(r) * LAST_INDEX + (i) - 1]
#define MATCH_INDEX(l, f) matchIndex[(l) * REPLICAS + (f)]
#define BIT(r) (1 << (r))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

inline lastTerm(r, result) {
    if
    :: logLength[r] == 0 -> result = 0
    :: else -> result = TERM_AT(r, logLength[r])
    fi
}

inline stepDown(r) {
    isLeader[r] = false;
    isCandidate[r] = false;
    votesReceived[r] = 0;
    commitIndex[r] = 0;
    MATCH_INDEX(r, 0) = 0;
    MATCH_INDEX(r, 1) = 0;
    MATCH_INDEX(r, 2) = 0
}

inline checkNewLeader(r) {
    assert(leaderOf[term[r]] == 0 || leaderOf[term[r]] == r + 1);
    leaderOf[term[r]] = r + 1;
    /* The log of the new leader must contain all entries that were committed in earlier terms. */
    assert(committedEntry[0] == 0 || committedInTerm[0] >= term[r] || (logLength[r] >= 1 && TERM_AT(r, 1) == committedEntry[0]));
    assert(committedEntry[1] == 0 || committedInTerm[1] >= term[r] || (logLength[r] >= 2 && TERM_AT(r, 2) == committedEntry[1]))
}

inline commit(r, index) {
    assert(committedEntry[index - 1] == 0 || committedEntry[index - 1] == TERM_AT(r, index));
    if
    :: committedEntry[index - 1] == 0 -> committedInTerm[index - 1] = term[r]
    :: else
    fi;
    committedEntry[index - 1] = TERM_AT(r, index);
#ifdef REACHED
    assert(index < 2 || diskLossesLeft == MAX_DISK_LOSSES);
#endif
    if
    :: index == 2 ->
        assert(committedEntry[0] == 0 || committedEntry[0] == TERM_AT(r, 1));
        if
        :: committedEntry[0] == 0 -> committedInTerm[0] = term[r]
        :: else
        fi;
        committedEntry[0] = TERM_AT(r, 1)
    :: else
    fi;
    if
    :: commitIndex[r] < index -> commitIndex[r] = index
    :: else
    fi
}

proctype Replica(byte self) {
    byte other, ownLastTerm, otherLastTerm, votes;
    do
    /* Starts an election. */
    :: atomic {
        isVoter[self] && !isLeader[self] && term[self] < LAST_TERM ->
        stepDown(self);
        term[self]++;
        vote[self] = self + 1;
        isCandidate[self] = true;
        votesReceived[self] = BIT(self)
    }
    /* Requests the vote of another voter, which grants it if it may. */
    :: atomic {
        isCandidate[self] ->
        select(other : 0 .. 2);
        lastTerm(self, ownLastTerm);
        lastTerm(other, otherLastTerm);
        if
        :: other != self && isVoter[other] && (term[other] < term[self] || (term[other] == term[self] && (vote[other] == 0 || vote[other] == self + 1))) && (ownLastTerm > otherLastTerm || (ownLastTerm == otherLastTerm && logLength[self] >= logLength[other])) ->
            if
            :: term[other] < term[self] -> stepDown(other)
            :: else
            fi;
            term[other] = term[self];
            vote[other] = self + 1;
            votesReceived[self] = votesReceived[self] | BIT(other)
        :: else
        fi;
        ownLastTerm = 0;
        otherLastTerm = 0;
        other = 0
    }
    /* A candidate with the votes of a quorum becomes the leader. */
    :: atomic {
        isCandidate[self] && COUNT(votesReceived[self]) >= QUORUM ->
        isCandidate[self] = false;
        votesReceived[self] = 0;
        isLeader[self] = true;
        unsyncedEntries[self] = 0;
        checkNewLeader(self)
    }
    /* The leader appends a command and stores it in the same step. */
    :: atomic {
        isLeader[self] && logLength[self] < LAST_INDEX ->
        logLength[self]++;
        TERM_AT(self, logLength[self]) = term[self]
    }
    /* The leader sends its log to another replica, which stores and acknowledges it. */
    :: atomic {
        isLeader[self] ->
        select(other : 0 .. 2);
        if
        :: other != self && term[other] <= term[self] && (!isLeader[other] || term[other] < term[self]) ->
            if
            :: term[other] < term[self] ->
                stepDown(other);
                term[other] = term[self];
                vote[other] = 0
            :: else -> isCandidate[other] = false
            fi;
            /* A follower records its leader as its vote in the term: a replica that joined during this term may already have
             * voted in it under its former identity. */
            if
            :: vote[other] == 0 -> vote[other] = self + 1
            :: else
            fi;
            votesReceived[other] = 0;
#ifdef EARLY_ANSWER
            if
            :: logLength[self] > logLength[other] -> unsyncedEntries[other] = logLength[self] - logLength[other]
            :: else
            fi;
#endif
            logLength[other] = logLength[self];
            TERM_AT(other, 1) = TERM_AT(self, 1);
            TERM_AT(other, 2) = TERM_AT(self, 2);
            MATCH_INDEX(self, other) = logLength[self]
        :: else
        fi;
        other = 0
    }
    /* The leader commits entries that a quorum of voters has stored, if the last one is of its own term. */
    :: atomic {
        isLeader[self] && isVoter[self] && logLength[self] > 0 && TERM_AT(self, logLength[self]) == term[self] && commitIndex[self] < logLength[self] ->
        votes = 1;
        other = (self + 1) % 3;
        if
        :: isVoter[other] && MATCH_INDEX(self, other) == logLength[self] -> votes++
        :: else
        fi;
        other = (self + 2) % 3;
        if
        :: isVoter[other] && MATCH_INDEX(self, other) == logLength[self] -> votes++
        :: else
        fi;
        if
        :: votes >= QUORUM -> commit(self, logLength[self])
        :: else
        fi;
        votes = 0;
        other = 0
    }
    /* The leader promotes a learner that has replicated all entries. The removal of its former identity was committed before
     * that, in this term, by the leader and the third replica. */
    :: atomic {
        isLeader[self] && isVoter[self] && commitIndex[self] > 0 && commitIndex[self] == logLength[self] ->
        select(other : 0 .. 2);
        if
#ifdef NO_REMOVAL
        :: !isVoter[other] && term[other] == term[self] && MATCH_INDEX(self, other) >= commitIndex[self] -> isVoter[other] = true
#else
        :: !isVoter[other] && term[other] == term[self] && MATCH_INDEX(self, other) >= commitIndex[self] && isVoter[3 - self - other] && term[3 - self - other] == term[self] && MATCH_INDEX(self, 3 - self - other) == logLength[self] -> isVoter[other] = true
#endif
        :: else
        fi;
        other = 0
    }
    od
}

proctype Faults() {
    byte victim;
    do
    /* A replica crashes and loses its volatile state and the entries that it has not synced. */
    :: atomic {
        crashesLeft > 0 ->
        crashesLeft--;
        select(victim : 0 .. 2);
        stepDown(victim);
        if
        :: unsyncedEntries[victim] > 0 && unsyncedEntries[victim] <= logLength[victim] ->
            logLength[victim] = logLength[victim] - unsyncedEntries[victim];
            if
            :: logLength[victim] < 2 -> TERM_AT(victim, 2) = 0
            :: else
            fi;
            if
            :: logLength[victim] < 1 -> TERM_AT(victim, 1) = 0
            :: else
            fi
        :: else
        fi;
        unsyncedEntries[victim] = 0;
        victim = 0
    }
    /* A disk is lost only while all three replicas are voters, so a second loss happens only after the first is repaired. */
    :: atomic {
        diskLossesLeft > 0 && isVoter[0] && isVoter[1] && isVoter[2] ->
        diskLossesLeft--;
        select(victim : 0 .. 2);
        stepDown(victim);
        term[victim] = 0;
        vote[victim] = 0;
        logLength[victim] = 0;
        TERM_AT(victim, 1) = 0;
        TERM_AT(victim, 2) = 0;
        MATCH_INDEX(0, victim) = 0;
        MATCH_INDEX(1, victim) = 0;
        MATCH_INDEX(2, victim) = 0;
        unsyncedEntries[victim] = 0;
#ifndef OLD_IDENTITY
        isVoter[victim] = false;
#endif
        victim = 0
    }
    :: crashesLeft == 0 && diskLossesLeft == 0 -> break
    od
}

init {
    atomic {
        isVoter[0] = true;
        isVoter[1] = true;
        isVoter[2] = true;
        run Replica(0);
        run Replica(1);
        run Replica(2);
        run Faults()
    }
}
