/* Elections and commits of the ledger, with crashes and lost disks.
 *
 * Three replicas. A step is taken by one replica, or by a message between two: a message that is lost, delayed or cut
 * off is a step that is not taken yet, or never. What a replica stores is stored in the step in which it promises it,
 * except in the variant EARLY_ANSWER. A replica whose disk is lost comes back as a learner and is promoted by an
 * established leader once it holds everything that is committed. The quorum is two in each membership that the ledger
 * passes through ({A,B,C}, {A,B} and {A,B,C'}), so that the model keeps a flag for each voter in place of the entries
 * that change the membership.
 *
 * Checked: an index is committed with one content only; a new leader holds everything that is committed; a term has one
 * leader.
 *
 * Variants that have to fail: -DREACHED (claims that no two entries are ever committed after a disk was lost, so that the
 * check is seen to get there), -DNO_REMOVAL (a learner is promoted before the removal of its former identity is
 * committed), -DOLD_IDENTITY (a replica without its disk goes on as a voter), -DEARLY_ANSWER (the
 * answer to an append leaves before the entry is stored, and a crash loses it).
 */

#define REPLICAS 3
#define QUORUM 2
#define LAST_TERM 3
#define LAST_INDEX 2
#define CRASHES 2
#define LOST_DISKS 2

/* Durable. A log holds the terms of its entries; zero is no entry. */
byte term[REPLICAS];
byte vote[REPLICAS];
byte log[6];             /* [replica * LAST_INDEX + index - 1] */
byte length[REPLICAS];
bool voter[REPLICAS];

/* Volatile. */
bool leads[REPLICAS];
bool candidate[REPLICAS];
byte granted[REPLICAS];  /* bit set of the votes that a candidate has */
byte match[9];           /* [leader * REPLICAS + follower] */
byte unsynced[REPLICAS]; /* entries at the end of the log that a crash loses */
byte known[REPLICAS];    /* the leader's commit index */

/* For the checks. */
byte chosen[LAST_INDEX];
byte chosenIn[LAST_INDEX]; /* the term in which the entry was committed first */
byte leaderOf[4];
byte crashes = CRASHES;
byte lostDisks = LOST_DISKS;

#define AT(r, i) log[(r) * LAST_INDEX + (i) - 1]
#define MATCH(l, f) match[(l) * REPLICAS + (f)]
#define BIT(r) (1 << (r))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

inline lastTerm(r, result) {
    if
    :: length[r] == 0 -> result = 0
    :: else -> result = AT(r, length[r])
    fi
}

inline stepDown(r) {
    leads[r] = false;
    candidate[r] = false;
    granted[r] = 0;
    known[r] = 0;
    MATCH(r, 0) = 0;
    MATCH(r, 1) = 0;
    MATCH(r, 2) = 0
}

inline checkNewLeader(r) {
    assert(leaderOf[term[r]] == 0 || leaderOf[term[r]] == r + 1);
    leaderOf[term[r]] = r + 1;
    /* What was committed in an earlier term has to be in the new leader's log. */
    assert(chosen[0] == 0 || chosenIn[0] >= term[r] || (length[r] >= 1 && AT(r, 1) == chosen[0]));
    assert(chosen[1] == 0 || chosenIn[1] >= term[r] || (length[r] >= 2 && AT(r, 2) == chosen[1]))
}

inline commit(r, index) {
    assert(chosen[index - 1] == 0 || chosen[index - 1] == AT(r, index));
    if
    :: chosen[index - 1] == 0 -> chosenIn[index - 1] = term[r]
    :: else
    fi;
    chosen[index - 1] = AT(r, index);
#ifdef REACHED
    assert(index < 2 || lostDisks == LOST_DISKS);
#endif
    if
    :: index == 2 ->
        assert(chosen[0] == 0 || chosen[0] == AT(r, 1));
        if
        :: chosen[0] == 0 -> chosenIn[0] = term[r]
        :: else
        fi;
        chosen[0] = AT(r, 1)
    :: else
    fi;
    if
    :: known[r] < index -> known[r] = index
    :: else
    fi
}

proctype Replica(byte me) {
    byte other, mine, theirs, votes;
    do
    /* Stands for election. */
    :: atomic {
        voter[me] && !leads[me] && term[me] < LAST_TERM ->
        stepDown(me);
        term[me]++;
        vote[me] = me + 1;
        candidate[me] = true;
        granted[me] = BIT(me)
    }
    /* Asks another voter for its vote, and gets it. */
    :: atomic {
        candidate[me] ->
        select(other : 0 .. 2);
        lastTerm(me, mine);
        lastTerm(other, theirs);
        if
        :: other != me && voter[other] && (term[other] < term[me] || (term[other] == term[me] && (vote[other] == 0 || vote[other] == me + 1))) && (mine > theirs || (mine == theirs && length[me] >= length[other])) ->
            if
            :: term[other] < term[me] -> stepDown(other)
            :: else
            fi;
            term[other] = term[me];
            vote[other] = me + 1;
            granted[me] = granted[me] | BIT(other)
        :: else
        fi;
        mine = 0;
        theirs = 0;
        other = 0
    }
    :: atomic {
        candidate[me] && COUNT(granted[me]) >= QUORUM ->
        candidate[me] = false;
        granted[me] = 0;
        leads[me] = true;
        unsynced[me] = 0;
        checkNewLeader(me)
    }
    /* Takes a command; its own copy is stored in the same step. */
    :: atomic {
        leads[me] && length[me] < LAST_INDEX ->
        length[me]++;
        AT(me, length[me]) = term[me]
    }
    /* Sends its log to another replica, which stores it and answers. */
    :: atomic {
        leads[me] ->
        select(other : 0 .. 2);
        if
        :: other != me && term[other] <= term[me] && (!leads[other] || term[other] < term[me]) ->
            if
            :: term[other] < term[me] ->
                stepDown(other);
                term[other] = term[me];
                vote[other] = 0
            :: else -> candidate[other] = false
            fi;
            /* A follower has no vote left in the term of its leader: a replica that joined in this term may have voted
             * in it under its former identity. */
            if
            :: vote[other] == 0 -> vote[other] = me + 1
            :: else
            fi;
            granted[other] = 0;
#ifdef EARLY_ANSWER
            if
            :: length[me] > length[other] -> unsynced[other] = length[me] - length[other]
            :: else
            fi;
#endif
            length[other] = length[me];
            AT(other, 1) = AT(me, 1);
            AT(other, 2) = AT(me, 2);
            MATCH(me, other) = length[me]
        :: else
        fi;
        other = 0
    }
    /* Commits what a quorum of voters holds, where the last of it is of its own term. */
    :: atomic {
        leads[me] && voter[me] && length[me] > 0 && AT(me, length[me]) == term[me] && known[me] < length[me] ->
        votes = 1;
        other = (me + 1) % 3;
        if
        :: voter[other] && MATCH(me, other) == length[me] -> votes++
        :: else
        fi;
        other = (me + 2) % 3;
        if
        :: voter[other] && MATCH(me, other) == length[me] -> votes++
        :: else
        fi;
        if
        :: votes >= QUORUM -> commit(me, length[me])
        :: else
        fi;
        votes = 0;
        other = 0
    }
    /* Promotes a learner that holds everything. Before that, the removal of its former identity is committed in this
     * term by the leader and the third replica. */
    :: atomic {
        leads[me] && voter[me] && known[me] > 0 && known[me] == length[me] ->
        select(other : 0 .. 2);
        if
#ifdef NO_REMOVAL
        :: !voter[other] && term[other] == term[me] && MATCH(me, other) >= known[me] -> voter[other] = true
#else
        :: !voter[other] && term[other] == term[me] && MATCH(me, other) >= known[me] && voter[3 - me - other] && term[3 - me - other] == term[me] && MATCH(me, 3 - me - other) == length[me] -> voter[other] = true
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
    :: atomic {
        crashes > 0 ->
        crashes--;
        select(victim : 0 .. 2);
        stepDown(victim);
        if
        :: unsynced[victim] > 0 && unsynced[victim] <= length[victim] ->
            length[victim] = length[victim] - unsynced[victim];
            if
            :: length[victim] < 2 -> AT(victim, 2) = 0
            :: else
            fi;
            if
            :: length[victim] < 1 -> AT(victim, 1) = 0
            :: else
            fi
        :: else
        fi;
        unsynced[victim] = 0;
        victim = 0
    }
    /* A disk is lost only while all three are voters: a second one only once the first is repaired. */
    :: atomic {
        lostDisks > 0 && voter[0] && voter[1] && voter[2] ->
        lostDisks--;
        select(victim : 0 .. 2);
        stepDown(victim);
        term[victim] = 0;
        vote[victim] = 0;
        length[victim] = 0;
        AT(victim, 1) = 0;
        AT(victim, 2) = 0;
        MATCH(0, victim) = 0;
        MATCH(1, victim) = 0;
        MATCH(2, victim) = 0;
        unsynced[victim] = 0;
#ifndef OLD_IDENTITY
        voter[victim] = false;
#endif
        victim = 0
    }
    :: crashes == 0 && lostDisks == 0 -> break
    od
}

init {
    atomic {
        voter[0] = true;
        voter[1] = true;
        voter[2] = true;
        run Replica(0);
        run Replica(1);
        run Replica(2);
        run Faults()
    }
}
