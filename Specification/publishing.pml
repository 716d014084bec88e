/* Concurrent publication of configuration versions, with resent changes, restarts and stale transfers.
 *
 * Two operators each publish changes based on the version that they have read, and may resend a change. The ledger applies one
 * change at a time and remembers the result of each change. Two entry hosts receive versions from the ledger or from each
 * other, in any order and with any delay. They restart with the version on their disks, and may restore an older snapshot of
 * the ledger.
 *
 * Properties: at most one change is accepted on each base version; a resent change receives its first result; the active
 * version of a host never decreases.
 *
 * Variants that must fail:
 *   -DNO_COMPARE  the ledger does not compare the base version with the current version
 *   -DNO_ORDER    a host activates every version that arrives
 *   -DNO_DISK     a host does not store its active version
 *   -DNO_ANSWERS  the ledger does not remember its results
 */

#define LAST_VERSION 3
#define CHANGES 4

byte version;               /* current version in the ledger */
byte publishedBy[4];        /* the change that created each version, plus one */
byte changeResult[CHANGES]; /* 0: not applied yet; 1: refused; 2 + v: accepted as version v */
byte firstResult[CHANGES];

byte activeVersion[2];
byte storedVersion[2];
byte highestActiveVersion[2];
bool inTransit[8]; /* [host * 4 + version]: whether a transfer of the version to the host is in transit */

#define IN_TRANSIT(h, v) inTransit[(h) * 4 + (v)]

inline applyChange(change, base, result) {
    if
#ifndef NO_ANSWERS
    :: changeResult[change] != 0 -> result = changeResult[change]
#endif
    :: else ->
        if
#ifdef NO_COMPARE
        :: version < LAST_VERSION ->
#else
        :: base == version && version < LAST_VERSION ->
#endif
            assert(base == version);
            version++;
            assert(publishedBy[version] == 0);
            publishedBy[version] = change + 1;
            result = 2 + version
        :: else -> result = 1
        fi;
        changeResult[change] = result
    fi
}

proctype Operator(byte self) {
    byte change = self;
    byte base;
    byte received;
    byte sendCount;
    do
    :: atomic { change < CHANGES -> base = version };
        sendCount = 0;
        do
        :: atomic {
            sendCount < 2 ->
            sendCount++;
            applyChange(change, base, received);
            assert(firstResult[change] == 0 || firstResult[change] == received);
            firstResult[change] = received
        }
        :: sendCount > 0 -> break
        od;
        change = change + 2
    :: change >= CHANGES -> break
    od
}

inline activate(h, v) {
#ifdef NO_ORDER
    activeVersion[h] = v;
    storedVersion[h] = v;
#else
    if
    :: v > activeVersion[h] ->
        storedVersion[h] = v;
        activeVersion[h] = v
    :: else
    fi;
#endif
    assert(activeVersion[h] >= highestActiveVersion[h]);
    highestActiveVersion[h] = activeVersion[h]
}

proctype Entry(byte self) {
    byte arriving;
    byte restarts;
    do
    /* The ledger or the other host starts to transfer its version. */
    :: atomic { version > 0 -> IN_TRANSIT(self, version) = true }
    :: atomic { activeVersion[1 - self] > 0 -> IN_TRANSIT(self, activeVersion[1 - self]) = true }
    /* Any transfer in transit arrives. */
    :: atomic {
        select(arriving : 1 .. 3);
        if
        :: IN_TRANSIT(self, arriving) ->
            IN_TRANSIT(self, arriving) = false;
            activate(self, arriving)
        :: else
        fi;
        arriving = 0
    }
    /* The replica of this host is restored from a snapshot of any earlier version. */
    :: atomic {
        version > 0 ->
        select(arriving : 1 .. 3);
        if
        :: arriving <= version -> activate(self, arriving)
        :: else
        fi;
        arriving = 0
    }
    :: atomic {
        restarts < 2 ->
        restarts++;
#ifdef NO_DISK
        activeVersion[self] = 0;
#else
        activeVersion[self] = storedVersion[self];
#endif
        assert(activeVersion[self] >= highestActiveVersion[self])
    }
    od
}

init {
    atomic {
        run Operator(0);
        run Operator(1);
        run Entry(0);
        run Entry(1)
    }
}
