/* Safety of task runs when a dispatcher pauses, is partitioned, or is replaced by another dispatcher.
 *
 * The model has two dispatchers of one shard, of which the second has the higher fencing token, two targets, and one entry
 * host with one job of one task. Time advances in ticks of about 250 ms. The job begins at the first dispatcher; the entry host
 * may transfer it to the second one at any time, and never back.
 *
 * The first dispatcher may pause for any time. Its link to the first target may be cut permanently at any time after a start,
 * and one link of the second dispatcher may be cut from the beginning. Messages with which the entry host extends its lease at
 * the first dispatcher may be lost or delayed. A start order of the first dispatcher may take effect after the dispatcher has
 * stopped waiting for its answer. A stop order may be lost. The targets are symmetric, so the first start always goes to the
 * first target.
 *
 * A dispatcher claims a target before it starts a run there, and renews the lease of the run. No lease is granted beyond a
 * limit that is counted from the last message of the entry host, and none for a run whose job the dispatcher has never had. A
 * run whose leases expired without a report of its end is started again only after a message that the entry host sent later.
 * The second dispatcher keeps the job once it has it, and can reach the entry host all the time, which allows it more starts
 * than a real one.
 *
 * Property: the task never runs on both targets at the same time.
 *
 * Variants that must fail:
 *   -DREACHED        asserts that the second dispatcher never starts a run, which shows that the search reaches such a run
 *   -DNO_CLAIM       a dispatcher starts a run before it has claimed the targets and before the claim delay has passed
 *   -DNO_FENCE       targets accept any fencing token
 *   -DSHORT_WAIT     the claim delay does not include the time between the end of the entry lease and the limit of the runs
 *   -DNO_LIMIT       leases are renewed beyond the limit of the run, until a stop order has taken effect
 *   -DEXTEND_UNKNOWN a dispatcher renews the leases of runs whose job it has never had
 *   -DBLIND_LAPSE    a run that lapsed is started again although the entry host has not been heard since
 *   -DBLIND_RESTART  after an unanswered start, the task may be started again immediately
 *   -DFRESH_WAKE     a dispatcher that resumes from a pause treats an expired entry lease as just renewed
 *   -DHELD_UP        messages of the entry host take effect regardless of their age
 */

#define MESSAGE_DELAY 1
#define ENTRY_LEASE 3
#define RUN_LEASE 2
#define STOP_DELAY 1
/* Ticks after the dispatcher last heard the entry host after which no run of the job has a lease. */
#define RUN_LIMIT 4
#ifdef SHORT_WAIT
#define CLAIM_DELAY (MESSAGE_DELAY + ENTRY_LEASE - 1)
#else
#define CLAIM_DELAY (MESSAGE_DELAY + RUN_LIMIT)
#endif
#ifndef LAST_TICK
#define LAST_TICK 7
#endif

#define FIRST 1
#define SECOND 2

/* The targets. */
byte fence[2];
bool isRunning[2];
byte lease[2];     /* ticks until the lease of the run expires */
byte stopDelay[2]; /* ticks until a stop takes effect; zero if none is pending */
/* A start order of the first dispatcher in transit to the target: the remaining ticks of its lease, zero if there is none. */
byte delayedLease[2];

/* The first dispatcher. */
bool paused;
bool hasJob;
byte entryLease;         /* remaining ticks of the lease of the entry host */
byte runLimit;           /* ticks until the end of the longest lease that may be granted to the run */
bool claimed[2];
bool knownRun[2];
byte knownLease[2];      /* ticks until a known run must have ended if the target does not answer */
byte unansweredStart[2]; /* ticks until an unanswered start can no longer take effect */
bool linkCut;            /* the link to the first target */
/* Whether a run lapsed, and the entry host has not been heard by a message that it sent later; ticks since the run lapsed. */
bool mustHearEntry;
byte ticksSinceLapse;

/* The second dispatcher. */
bool secondHasJob;
byte claimDelay;         /* ticks until all runs of the first dispatcher must have ended */
bool secondClaimed[2];
bool secondKnownRun[2];
bool secondLinkCut[2];

/* The entry host: ticks since it sent the last message to the first dispatcher, and the age of a message in transit. */
byte ticksSinceMessage;
bool messageSent;
byte messageAge;

byte now;
bool anyStarted;
bool isReady;
#define RUNNING (isReady && now < LAST_TICK)
/* Otherwise no further start is possible, and the search of the execution ends. */
#define MAY_START_AGAIN (hasJob || secondHasJob || delayedLease[0] > 0 || delayedLease[1] > 0)

#ifdef NO_FENCE
#define FIRST_REACHES(t) (!(t == 0 && linkCut))
#define ACCEPTS_DELAYED(t) true
#else
#define FIRST_REACHES(t) (!(t == 0 && linkCut) && fence[t] <= FIRST)
#define ACCEPTS_DELAYED(t) (fence[t] <= FIRST)
#endif
#define SECOND_REACHES(t) (!secondLinkCut[t])

#ifdef NO_LIMIT
#define GRANTED_LEASE RUN_LEASE
#else
#define GRANTED_LEASE (runLimit < RUN_LEASE -> runLimit : RUN_LEASE)
#endif
#ifdef BLIND_LAPSE
#define HAS_HEARD_ENTRY true
#else
#define HAS_HEARD_ENTRY (!mustHearEntry)
#endif
#define FIRST_KNOWS_NO_RUN (!knownRun[0] && !knownRun[1] && unansweredStart[0] == 0 && unansweredStart[1] == 0)
#define SECOND_KNOWS_NO_RUN (!secondKnownRun[0] && !secondKnownRun[1])
#ifdef NO_CLAIM
#define SECOND_MAY_START(t) (secondHasJob && SECOND_KNOWS_NO_RUN)
#else
#define SECOND_MAY_START(t) (secondHasJob && SECOND_KNOWS_NO_RUN && secondClaimed[t] && (claimDelay == 0 || (secondClaimed[0] && secondClaimed[1])))
#endif
#define FIRST_MAY_START(t) (hasJob && entryLease > 0 && GRANTED_LEASE > 0 && FIRST_KNOWS_NO_RUN && HAS_HEARD_ENTRY && claimed[t] && (t == 0 || anyStarted))

inline startRun(t) {
    isRunning[t] = true;
    stopDelay[t] = 0;
    assert(!(isRunning[0] && isRunning[1]))
}

inline decrement(value) {
    if
    :: value > 0 -> value = value - 1
    :: else
    fi
}

inline tickTarget(t) {
    if
    :: isRunning[t] ->
        decrement(lease[t]);
        if
        :: stopDelay[t] == 1 || lease[t] == 0 -> isRunning[t] = false; stopDelay[t] = 0; lease[t] = 0
        :: else -> decrement(stopDelay[t])
        fi
    :: else
    fi;
    decrement(delayedLease[t])
}

inline noteLapse() {
#ifdef BLIND_LAPSE
    skip
#else
    mustHearEntry = true;
    ticksSinceLapse = 0
#endif
}

/* A run that the first dispatcher has not heard of for the length of a lease has ended. */
inline tickKnownRun(t) {
    if
    :: knownRun[t] && knownLease[t] <= 1 -> knownRun[t] = false; knownLease[t] = 0; noteLapse()
    :: knownLease[t] > 1 -> knownLease[t] = knownLease[t] - 1
    :: else
    fi;
    if
    :: unansweredStart[t] == 1 -> unansweredStart[t] = 0; noteLapse()
    :: unansweredStart[t] > 1 -> unansweredStart[t] = unansweredStart[t] - 1
    :: else
    fi
}

/* A stop that is lost leaves the run to its lease. */
inline stopRun(t) {
    if
    :: knownRun[t] && FIRST_REACHES(t) && isRunning[t] && stopDelay[t] == 0 -> stopDelay[t] = STOP_DELAY
    :: true
    fi
}

/* After that, the first dispatcher starts nothing any more. */
inline dropJob() {
    hasJob = false;
    mustHearEntry = false;
    ticksSinceLapse = 0;
    entryLease = 0;
    stopRun(0);
    stopRun(1)
}

active proctype Time() {
    do
    :: atomic {
        RUNNING ->
        now = (MAY_START_AGAIN -> now + 1 : LAST_TICK);
        tickTarget(0);
        tickTarget(1);
        decrement(entryLease);
        decrement(runLimit);
        decrement(claimDelay);
        if
        :: mustHearEntry && ticksSinceLapse <= MESSAGE_DELAY -> ticksSinceLapse = ticksSinceLapse + 1
        :: else
        fi;
        tickKnownRun(0);
        tickKnownRun(1);
        if
        :: messageSent -> messageAge = messageAge + 1
        :: else
        fi;
        if
        :: !paused && hasJob && entryLease == 0 -> dropJob()
        :: else
        fi;
        if
        :: !secondHasJob && ticksSinceMessage < CLAIM_DELAY -> ticksSinceMessage = ticksSinceMessage + 1
        :: else
        fi
    }
    :: now == LAST_TICK -> break
    od
}

/* Other hold orders would change nothing. */
#define FIRST_NEEDS_HOLD(t) (!claimed[t] || isRunning[t] != knownRun[t] || (isRunning[t] && (lease[t] < GRANTED_LEASE || knownLease[t] < RUN_LEASE)))
#define SECOND_NEEDS_HOLD(t) (fence[t] < SECOND || !secondClaimed[t] || isRunning[t] != secondKnownRun[t] || (isRunning[t] && lease[t] < RUN_LEASE))

inline takeFirstDispatcherStep(t) {
    if
    /* A hold order renews the lease of the run, and returns the state of the target. */
    :: FIRST_REACHES(t) && FIRST_NEEDS_HOLD(t) ->
        claimed[t] = true;
        knownRun[t] = isRunning[t];
        /* The second dispatcher may have granted the longest lease. */
        knownLease[t] = (isRunning[t] -> RUN_LEASE : 0);
        if
        :: isRunning[t] && stopDelay[t] == 0 && GRANTED_LEASE > lease[t] -> lease[t] = GRANTED_LEASE
        :: else
        fi
    :: FIRST_MAY_START(t) && FIRST_REACHES(t) && !isRunning[t] ->
        anyStarted = true;
        knownRun[t] = true;
        knownLease[t] = RUN_LEASE;
        lease[t] = GRANTED_LEASE;
        startRun(t)
    /* No answer arrives; the order takes effect later, or never. */
    :: FIRST_MAY_START(t) && delayedLease[t] == 0 ->
        anyStarted = true;
        delayedLease[t] = GRANTED_LEASE;
#ifndef BLIND_RESTART
        unansweredStart[t] = RUN_LEASE + 1;
#endif
        claimed[t] = false
    /* An answered stop order cancels the unanswered start order. */
    :: unansweredStart[t] > 0 && FIRST_REACHES(t) ->
        delayedLease[t] = 0;
        if
        :: isRunning[t] && stopDelay[t] == 0 -> stopDelay[t] = STOP_DELAY
        :: else
        fi;
        if
        :: !isRunning[t] -> unansweredStart[t] = 0
        :: else
        fi
    :: t == 0 && anyStarted && !linkCut -> linkCut = true
    fi
}

active proctype FirstDispatcher() {
    do
    :: atomic { RUNNING && !paused -> takeFirstDispatcherStep(0) }
    :: atomic { RUNNING && !paused -> takeFirstDispatcherStep(1) }
    :: atomic { RUNNING && !paused -> paused = true }
    :: atomic {
        RUNNING && paused ->
        paused = false;
        if
#ifdef FRESH_WAKE
        :: hasJob && entryLease == 0 -> entryLease = 1; runLimit = RUN_LIMIT
#else
        :: hasJob && entryLease == 0 -> dropJob()
#endif
        :: else
        fi;
        claimed[0] = false;
        claimed[1] = false
    }
    :: now == LAST_TICK -> break
    od
}

inline takeSecondDispatcherStep(t) {
    if
    :: SECOND_REACHES(t) && SECOND_NEEDS_HOLD(t) ->
        fence[t] = SECOND;
        secondClaimed[t] = true;
        secondKnownRun[t] = isRunning[t];
        if
#ifdef EXTEND_UNKNOWN
        :: isRunning[t] && stopDelay[t] == 0 -> lease[t] = RUN_LEASE
#else
        :: isRunning[t] && stopDelay[t] == 0 && secondHasJob -> lease[t] = RUN_LEASE
#endif
        :: else
        fi
    :: SECOND_MAY_START(t) && SECOND_REACHES(t) && !isRunning[t] ->
#ifdef REACHED
        assert(false);
#endif
        fence[t] = SECOND;
        secondKnownRun[t] = true;
        lease[t] = RUN_LEASE;
        startRun(t)
    fi
}

active proctype SecondDispatcher() {
    do
    :: atomic { RUNNING -> takeSecondDispatcherStep(0) }
    :: atomic { RUNNING -> takeSecondDispatcherStep(1) }
    :: now == LAST_TICK -> break
    od
}

inline carryOutDelayedStart(t) {
    lease[t] = delayedLease[t];
    delayedLease[t] = 0;
    startRun(t)
}

active proctype DelayedStarts() {
    do
    :: atomic { RUNNING && delayedLease[0] > 0 && !isRunning[0] && ACCEPTS_DELAYED(0) -> carryOutDelayedStart(0) }
    :: atomic { RUNNING && delayedLease[1] > 0 && !isRunning[1] && ACCEPTS_DELAYED(1) -> carryOutDelayedStart(1) }
    :: now == LAST_TICK -> break
    od
}

#ifdef HELD_UP
#define IS_ON_TIME true
#else
#define IS_ON_TIME (messageAge <= MESSAGE_DELAY)
#endif

inline extendEntryLease() {
    entryLease = ENTRY_LEASE;
    runLimit = RUN_LIMIT;
    if
    :: ticksSinceLapse > MESSAGE_DELAY -> mustHearEntry = false; ticksSinceLapse = 0
    :: else
    fi
}

active proctype Entry() {
    atomic {
        if
        :: secondLinkCut[0] = true
        :: secondLinkCut[1] = true
        :: true
        fi;
        fence[0] = FIRST;
        fence[1] = FIRST;
        claimed[0] = true;
        claimed[1] = true;
        hasJob = true;
        extendEntryLease();
        isReady = true
    }
    do
    :: atomic { RUNNING && !secondHasJob && !messageSent -> messageSent = true; messageAge = 0; ticksSinceMessage = 0 }
    :: atomic { messageSent -> messageSent = false; messageAge = 0 }
    :: atomic {
        messageSent && !paused ->
        if
        :: hasJob && IS_ON_TIME -> extendEntryLease()
        :: else
        fi;
        messageSent = false;
        messageAge = 0
    }
    :: atomic { RUNNING && !secondHasJob -> secondHasJob = true; claimDelay = CLAIM_DELAY - ticksSinceMessage; ticksSinceMessage = 0 }
    :: now == LAST_TICK -> break
    od
}
