/* Published versions race, are sent again, and never go back where they are in force.
 *
 * Two operators publish on the version that each has read; each may send its change again. The ledger decides one
 * change at a time and remembers its answers. Two entry hosts take versions from the ledger or from each other, in any
 * order and late, restart with what is on their disks, and may be restored from an older snapshot of the ledger.
 *
 * Checked: of the changes on one base version one wins; a change that is sent again gets its first answer; the version
 * in force on a host never goes back.
 *
 * Variants that have to fail: -DNO_COMPARE (the base version is not compared), -DNO_ORDER (a host puts in force whatever
 * arrives), -DNO_DISK (a host does not keep the version that it has in force), -DNO_ANSWERS (the ledger does not
 * remember its answers).
 */

#define LAST_VERSION 3
#define CHANGES 4

byte version;              /* of the ledger */
byte winner[4];            /* the change that made each version, plus one */
byte answer[CHANGES];      /* zero: undecided; 1: refused; 2 + v: accepted as version v */
byte firstAnswer[CHANGES];

byte inForce[2];
byte onDisk[2];
byte highestEver[2];
bool under_way[8];         /* [host * 4 + version]: a transfer that has not arrived yet */

#define TRANSFER(h, v) under_way[(h) * 4 + (v)]

inline decide(change, base, result) {
    if
#ifndef NO_ANSWERS
    :: answer[change] != 0 -> result = answer[change]
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
            assert(winner[version] == 0);
            winner[version] = change + 1;
            result = 2 + version
        :: else -> result = 1
        fi;
        answer[change] = result
    fi
}

proctype Operator(byte me) {
    byte change = me;
    byte base;
    byte got;
    byte sendings;
    do
    :: atomic { change < CHANGES -> base = version };
        sendings = 0;
        do
        :: atomic {
            sendings < 2 ->
            sendings++;
            decide(change, base, got);
            assert(firstAnswer[change] == 0 || firstAnswer[change] == got);
            firstAnswer[change] = got
        }
        :: sendings > 0 -> break
        od;
        change = change + 2
    :: change >= CHANGES -> break
    od
}

inline enforce(h, v) {
#ifdef NO_ORDER
    inForce[h] = v;
    onDisk[h] = v;
#else
    if
    :: v > inForce[h] ->
        onDisk[h] = v;
        inForce[h] = v
    :: else
    fi;
#endif
    assert(inForce[h] >= highestEver[h]);
    highestEver[h] = inForce[h]
}

proctype Entry(byte me) {
    byte which;
    byte restarts;
    do
    /* A transfer of the ledger's or of the peer's version sets out. */
    :: atomic { version > 0 -> TRANSFER(me, version) = true }
    :: atomic { inForce[1 - me] > 0 -> TRANSFER(me, inForce[1 - me]) = true }
    /* It arrives, in any order. */
    :: atomic {
        select(which : 1 .. 3);
        if
        :: TRANSFER(me, which) ->
            TRANSFER(me, which) = false;
            enforce(me, which)
        :: else
        fi;
        which = 0
    }
    /* The replica of this host is restored from any older state of the ledger. */
    :: atomic {
        version > 0 ->
        select(which : 1 .. 3);
        if
        :: which <= version -> enforce(me, which)
        :: else
        fi;
        which = 0
    }
    :: atomic {
        restarts < 2 ->
        restarts++;
#ifdef NO_DISK
        inForce[me] = 0;
#else
        inForce[me] = onDisk[me];
#endif
        assert(inForce[me] >= highestEver[me])
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
