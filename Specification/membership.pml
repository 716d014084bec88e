/* How many voters the ledger keeps, and when one is removed, so that the disks that may still be lost never take the quorum.
 *
 * The model has the hosts of the group and a spare one that takes the place of a host that is replaced as planned. Whether a leader
 * exists depends only on the voters that are up: elections and the log are in ledger.pml. A membership change is one step, taken
 * while a quorum of the membership before and after it is up. A host that loses its disk leaves behind a voter that never returns, and
 * joins again; the loss counts until the former voter is removed and the host is a voter, since a repair takes less time than a host
 * counts as lost. A host may also be gone for good without notice. The spare host takes its place, and the loss counts until the spare
 * host is a voter and the former voter is removed, or is kept because it is not known which of the silent voters are gone.
 *
 * An even number of voters takes half of them for a quorum where one is known to have lost its disk (retirement.pml).
 *
 * Property: after any further loss that is allowed, the voters that keep their disks are a quorum.
 *
 * Variants that must fail:
 *   -DREACHED      asserts that no disk is lost after a replacement and while a voter was removed for its silence, which shows that
 *                  the search reaches this case
 *   -DFIXED_FLOOR  silent voters are removed down to three, whatever the number of tolerated losses
 *   -DNO_LEAVE     a host that is replaced ends as a voter
 *   -DANY_LEAVE    a host leaves whatever the number of voters that are left and up
 *   -DGUESS        one of two silent voters is removed, whichever it is
 *   -DMAJORITIES   a quorum is more than half of the voters, whatever is known of them
 */

#define HOSTS 6
#define SPARE 5
#define TOLERATED 2
#ifdef FIXED_FLOOR
#define MINIMUM 3
#else
#define MINIMUM (2 * TOLERATED + 1)
#endif

bool isUp[HOSTS];
bool isVoter[HOSTS];
bool isPresent[HOSTS];
bool isRepairing[HOSTS]; /* the disk was lost, and the loss still counts */
bool formerIsVoter[HOSTS]; /* the former identity of the host is still a voter */
bool isReplaced;
bool removedSilent;
byte gone; /* voters whose hosts have been replaced */
bool goneCounts; /* a host is gone for good without notice, and the loss still counts */

byte voters;   /* of the membership, also those that never return */
byte kept;     /* voters that have their disks */
byte reached;  /* voters that are up */
byte lost;     /* lost disks that count */

#define QUORUM(n) ((n) / 2 + 1)
#ifdef MAJORITIES
#define QUORUM_WITH_RETIRED(n) QUORUM(n)
#else
#define QUORUM_WITH_RETIRED(n) (((n) + 1) / 2)
#endif

byte retired;  /* voters that have lost their disks and whose hosts may say so */

#define HAS_LEADER (reached >= QUORUM(voters) || (retired > 0 && reached >= QUORUM_WITH_RETIRED(voters)))
/* Whether a silent voter may be removed although it is not known which of the silent ones return. */
#ifdef GUESS
#define MAY_SPARE_SILENT true
#else
#define MAY_SPARE_SILENT (voters % 2 == 1 || reached >= MINIMUM)
#endif
/* Whether the leader may commit the removal of a voter that is down, or of one that is up. */
#define MAY_REMOVE_DOWN (HAS_LEADER && reached >= QUORUM(voters - 1))
#define MAY_REMOVE_UP (HAS_LEADER && reached - 1 >= QUORUM(voters - 1))

inline count() {
    d_step {
        voters = gone;
        kept = 0;
        reached = 0;
        lost = 0;
        retired = 0;
        i = 0;
        do
        :: i < HOSTS ->
            voters = voters + (isVoter[i] -> 1 : 0) + (formerIsVoter[i] -> 1 : 0);
            kept = kept + (isVoter[i] -> 1 : 0);
            reached = reached + ((isVoter[i] && isUp[i]) -> 1 : 0);
            lost = lost + (isRepairing[i] -> 1 : 0);
            retired = retired + (formerIsVoter[i] -> 1 : 0);
            i++
        :: else -> break
        od;
        i = 0;
        if
        :: goneCounts && isVoter[SPARE] && (gone == 0 || (HAS_LEADER && (voters <= MINIMUM || !MAY_SPARE_SILENT))) -> goneCounts = false
        :: else
        fi;
        lost = lost + (goneCounts -> 1 : 0);
        assert(lost > TOLERATED || retired > 0 || lost < TOLERATED || kept >= QUORUM(voters));
        assert(lost > TOLERATED || (retired == 0 && lost == TOLERATED) || kept >= QUORUM_WITH_RETIRED(voters) + TOLERATED - lost)
    }
}

active proctype Group() {
    byte host, i;
    atomic {
        host = 0;
        do
        :: host < SPARE -> isUp[host] = true; isVoter[host] = true; isPresent[host] = true; host++
        :: else -> break
        od;
        host = 0;
        count()
    }
    do
    /* A host loses its power or returns. */
    :: atomic {
        select(host : 0 .. 5);
        if
        :: isPresent[host] -> isUp[host] = !isUp[host]
        :: else
        fi;
        host = 0;
        count()
    }
    /* A disk is lost. */
    :: atomic {
        lost < TOLERATED ->
        select(host : 0 .. 5);
        if
        :: isPresent[host] && !isRepairing[host] && !formerIsVoter[host] ->
#ifdef REACHED
            assert(!isReplaced || !removedSilent);
#endif
            isUp[host] = false;
            formerIsVoter[host] = isVoter[host];
            isVoter[host] = false;
            isRepairing[host] = true
        :: else
        fi;
        host = 0;
        count()
    }
    /* The leader removes the former identity of a host that has joined again. */
    :: atomic {
        MAY_REMOVE_DOWN ->
        select(host : 0 .. 5);
        if
        :: formerIsVoter[host] && isUp[host] -> formerIsVoter[host] = false
        :: else
        fi;
        host = 0;
        count()
    }
    /* The leader promotes a host that has joined. */
    :: atomic {
        HAS_LEADER ->
        select(host : 0 .. 5);
        if
        :: isPresent[host] && isUp[host] && !isVoter[host] && !formerIsVoter[host] -> isVoter[host] = true; isRepairing[host] = false
        :: else
        fi;
        host = 0;
        count()
    }
    /* The leader removes a voter that is silent. */
    :: atomic {
        MAY_REMOVE_DOWN && voters > MINIMUM && MAY_SPARE_SILENT ->
        select(host : 0 .. 5);
        if
        :: isVoter[host] && !isUp[host] -> isVoter[host] = false; removedSilent = true
        :: gone > 0 -> gone--
        :: else
        fi;
        host = 0;
        count()
    }
    /* A host is asked to end for a restart, and leaves before it is down. */
    :: atomic {
#ifdef ANY_LEAVE
        MAY_REMOVE_UP ->
#else
        MAY_REMOVE_UP && reached - 1 >= MINIMUM ->
#endif
        select(host : 0 .. 5);
        if
        :: isVoter[host] && isUp[host] -> isVoter[host] = false; isUp[host] = false
        :: else
        fi;
        host = 0;
        count()
    }
    /* A host is gone for good without notice. */
    :: atomic {
        lost < TOLERATED && !isReplaced && !isPresent[SPARE] ->
        select(host : 0 .. 4);
        if
        :: isPresent[host] && !isRepairing[host] && !formerIsVoter[host] ->
            isReplaced = true;
            goneCounts = true;
            gone = (isVoter[host] -> 1 : 0);
            isVoter[host] = false;
            isUp[host] = false;
            isPresent[host] = false;
            isPresent[SPARE] = true;
            isUp[SPARE] = true
        :: else
        fi;
        host = 0;
        count()
    }
    /* The spare host is started, while none is lost. */
    :: atomic {
        !isPresent[SPARE] && lost == 0 -> isPresent[SPARE] = true; isUp[SPARE] = true
    }
    /* A host is replaced by the spare one, which is a voter. */
    :: atomic {
#ifdef NO_LEAVE
        !isReplaced && isVoter[SPARE] && lost == 0 ->
#else
        !isReplaced && isVoter[SPARE] && lost == 0 && MAY_REMOVE_UP && reached - 1 >= MINIMUM ->
#endif
        select(host : 0 .. 4);
        if
        :: isVoter[host] && isUp[host] ->
            isReplaced = true;
            isVoter[host] = false;
            isUp[host] = false;
            isPresent[host] = false;
#ifdef NO_LEAVE
            gone = 1
#endif
        :: else
        fi;
        host = 0;
        count()
    }
    od
}
