/* Safety of task runs when a dispatcher pauses, is partitioned, or is replaced by another dispatcher.
 *
 * The model has two dispatchers of one shard, of which the second has the higher fencing token, two targets, and one entry
 * host with one job of one task. Time advances in ticks of about 250 ms. The entry host renews its lease at the dispatcher
 * of its job by messages that may be lost or delayed. A dispatcher claims a target before it starts a run there, renews the
 * leases of the runs, and stops the run of the job when the lease of the entry host ends. A start order may take effect after
 * the dispatcher has stopped waiting for its answer. The first dispatcher may pause for any time. Each of its links to the
 * targets may be cut permanently at any time, and one link of the second dispatcher may be cut from the beginning. The entry
 * host may transfer the job to the second dispatcher at any time. The targets are symmetric, so the first start always goes to
 * the first target.
 *
 * Property: the task never runs on both targets at the same time.
 *
 * Variants that must fail:
 *   -DREACHED        asserts that the second dispatcher never starts a run, which shows that the search reaches such a run
 *   -DNO_CLAIM       a dispatcher starts a run before it has claimed the targets and before the claim delay has passed
 *   -DNO_FENCE       targets accept any fencing token
 *   -DSHORT_WAIT     the claim delay does not include the run lease on the targets
 *   -DBLIND_RESTART  after an unanswered start, the task may be started again immediately
 *   -DFRESH_WAKE     a dispatcher that resumes from a pause treats an expired entry lease as just renewed
 *   -DHELD_UP        renewals take effect regardless of their age
 */

#define MESSAGE_DELAY 1
#define ENTRY_LEASE 2
#define RUN_LEASE 2
#define STOP_DELAY 1
#ifdef SHORT_WAIT
#define CLAIM_DELAY (MESSAGE_DELAY + ENTRY_LEASE)
#else
#define CLAIM_DELAY (MESSAGE_DELAY + ENTRY_LEASE + RUN_LEASE + STOP_DELAY)
#endif
#define LAST_TICK 7

/* The targets. */
byte fence[2];
bool isRunning[2];
byte lease[2];     /* ticks until the lease of the run expires */
byte stopDelay[2]; /* ticks until a stop takes effect; zero if none is pending */
/* A start order in transit to the target, with its fencing token and the remaining ticks of its lease. */
bool delayedStart[2];
byte delayedFence[2];
byte delayedLease[2];

/* The dispatchers. State for each target is at [dispatcher * 2 + target]. */
bool paused[2];
bool hasJob[2];
byte entryLease[2];      /* remaining ticks of the lease of the entry host */
byte claimDelay[2];      /* ticks until all runs of an earlier dispatcher must have ended */
bool claimed[4];
bool knownRun[4];
byte unansweredStart[4]; /* ticks until an unanswered start can no longer take effect */
bool linkCut[4];

/* The entry host. */
byte owner; /* the dispatcher that the job is assigned to */
byte ticksSinceRenewal;
bool renewalSent[2];
byte renewalAge[2];

byte now;
bool anyStarted;
bool secondStarted;

#define LINK(d, t) ((d) * 2 + (t))
#define TOKEN(d) ((d) + 1)
#define ACCEPTS_ORDERS(d, t) (!linkCut[LINK(d, t)] && (TOKEN(d) >= fence[t]))
#define RESPECTS_SYMMETRY(d, t) (d == 1 || t == 0 || anyStarted)
#define HAS_NO_KNOWN_RUN(d) (!knownRun[LINK(d, 0)] && !knownRun[LINK(d, 1)] && unansweredStart[LINK(d, 0)] == 0 && unansweredStart[LINK(d, 1)] == 0)
#define ALL_CLAIMED(d) (claimed[LINK(d, 0)] && claimed[LINK(d, 1)])
#ifdef NO_CLAIM
#define MAY_START(d, t) (RESPECTS_SYMMETRY(d, t) && hasJob[d] && entryLease[d] > 0 && HAS_NO_KNOWN_RUN(d))
#else
#define MAY_START(d, t) (RESPECTS_SYMMETRY(d, t) && hasJob[d] && entryLease[d] > 0 && HAS_NO_KNOWN_RUN(d) && claimed[LINK(d, t)] && (claimDelay[d] == 0 || ALL_CLAIMED(d)))
#endif

inline startRun(t, ticks) {
    isRunning[t] = true;
    lease[t] = ticks;
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
        :: stopDelay[t] == 1 || lease[t] == 0 -> isRunning[t] = false; stopDelay[t] = 0
        :: else -> decrement(stopDelay[t])
        fi
    :: else
    fi;
    if
    :: delayedStart[t] && delayedLease[t] <= 1 -> delayedStart[t] = false; delayedLease[t] = 0; delayedFence[t] = 0
    :: delayedStart[t] && delayedLease[t] > 1 -> delayedLease[t] = delayedLease[t] - 1
    :: else
    fi
}

/* A dispatcher that is not paused stops the runs of an entry host whose lease has expired. A run on a target that the
   dispatcher cannot reach ends when the lease of the run expires. */
inline stopRun(d, t) {
    if
    :: knownRun[LINK(d, t)] && ACCEPTS_ORDERS(d, t) && isRunning[t] && stopDelay[t] == 0 -> stopDelay[t] = STOP_DELAY
    :: else
    fi;
    knownRun[LINK(d, t)] = false
}

inline tickDispatcher(d) {
    decrement(entryLease[d]);
    decrement(claimDelay[d]);
    decrement(unansweredStart[LINK(d, 0)]);
    decrement(unansweredStart[LINK(d, 1)]);
    if
    :: renewalSent[d] -> renewalAge[d] = renewalAge[d] + 1
    :: else
    fi;
    if
    :: !paused[d] && hasJob[d] && entryLease[d] == 0 -> hasJob[d] = false; stopRun(d, 0); stopRun(d, 1)
    :: else
    fi
}

active proctype Time() {
    do
    :: atomic {
        now < LAST_TICK ->
        now = now + 1;
        tickTarget(0);
        tickTarget(1);
        tickDispatcher(0);
        tickDispatcher(1);
        if
        :: ticksSinceRenewal < CLAIM_DELAY -> ticksSinceRenewal = ticksSinceRenewal + 1
        :: else
        fi
    }
    :: now == LAST_TICK -> break
    od
}

inline recordTargetState(d, t) {
    claimed[LINK(d, t)] = true;
    knownRun[LINK(d, t)] = isRunning[t]
}

inline takeDispatcherStep(d, t) {
    if
    /* A hold order claims the target, renews the lease of the run of the job, and returns the state of the target. */
    :: ACCEPTS_ORDERS(d, t) ->
        fence[t] = TOKEN(d);
        recordTargetState(d, t);
        if
        :: isRunning[t] && hasJob[d] && stopDelay[t] == 0 -> lease[t] = RUN_LEASE
        :: else
        fi
    :: MAY_START(d, t) ->
        anyStarted = true;
        if
        :: d == 1 ->
            secondStarted = true;
#ifdef REACHED
            assert(false)
#endif
        :: else
        fi;
        if
#ifdef NO_FENCE
        :: !linkCut[LINK(d, t)] && !isRunning[t] -> knownRun[LINK(d, t)] = true; startRun(t, RUN_LEASE)
#else
        :: ACCEPTS_ORDERS(d, t) && !isRunning[t] -> knownRun[LINK(d, t)] = true; startRun(t, RUN_LEASE)
#endif
        /* No answer arrives; the order takes effect later, or never. */
        :: !delayedStart[t] ->
            delayedStart[t] = true;
            delayedFence[t] = TOKEN(d);
            delayedLease[t] = RUN_LEASE;
#ifndef BLIND_RESTART
            unansweredStart[LINK(d, t)] = RUN_LEASE + 1;
#endif
            claimed[LINK(d, t)] = false
        :: true
        fi
    /* An answered stop order cancels the unanswered start order. */
    :: unansweredStart[LINK(d, t)] > 0 && ACCEPTS_ORDERS(d, t) ->
        fence[t] = TOKEN(d);
        if
        :: delayedStart[t] && delayedFence[t] == TOKEN(d) -> delayedStart[t] = false; delayedFence[t] = 0; delayedLease[t] = 0
        :: else
        fi;
        if
        :: isRunning[t] && stopDelay[t] == 0 -> stopDelay[t] = STOP_DELAY
        :: else
        fi;
        if
        :: !isRunning[t] -> unansweredStart[LINK(d, t)] = 0
        :: else
        fi
    :: d == 0 && !linkCut[LINK(d, t)] -> linkCut[LINK(d, t)] = true
    fi
}

active [2] proctype Dispatcher() {
    byte self = _pid - 1;
    do
    :: atomic { now < LAST_TICK && !paused[self] -> takeDispatcherStep(self, 0) }
    :: atomic { now < LAST_TICK && !paused[self] -> takeDispatcherStep(self, 1) }
    :: atomic { now < LAST_TICK && self == 0 && !paused[0] -> paused[0] = true }
    :: atomic {
        now < LAST_TICK && paused[self] ->
        paused[self] = false;
        if
        :: hasJob[self] && entryLease[self] == 0 ->
#ifdef FRESH_WAKE
            entryLease[self] = 1
#else
            hasJob[self] = false;
            stopRun(self, 0);
            stopRun(self, 1)
#endif
        :: else
        fi;
        claimed[LINK(self, 0)] = false;
        claimed[LINK(self, 1)] = false
    }
    :: now == LAST_TICK -> break
    od
}

/* Carries out start orders that were not answered. */
active proctype DelayedStarts() {
    byte t;
    do
    :: atomic {
        now < LAST_TICK ->
        select(t : 0 .. 1);
        if
#ifdef NO_FENCE
        :: delayedStart[t] && !isRunning[t] ->
#else
        :: delayedStart[t] && !isRunning[t] && delayedFence[t] >= fence[t] ->
#endif
            fence[t] = delayedFence[t];
            delayedStart[t] = false;
            delayedFence[t] = 0;
            startRun(t, delayedLease[t]);
            delayedLease[t] = 0
        :: else
        fi
    }
    :: now == LAST_TICK -> break
    od
}

inline assignJob(d) {
    hasJob[d] = true;
    entryLease[d] = ENTRY_LEASE;
    ticksSinceRenewal = 0
}

active proctype Entry() {
    atomic {
        if
        :: linkCut[LINK(1, 0)] = true
        :: linkCut[LINK(1, 1)] = true
        :: true
        fi;
        assignJob(0)
    }
    do
    :: atomic {
        now < LAST_TICK && !renewalSent[owner] ->
        renewalSent[owner] = true;
        renewalAge[owner] = 0;
        ticksSinceRenewal = 0
    }
    :: atomic { renewalSent[0] -> renewalSent[0] = false; renewalAge[0] = 0 }
    :: atomic {
        renewalSent[0] && !paused[0] ->
        if
#ifdef HELD_UP
        :: hasJob[0] -> entryLease[0] = ENTRY_LEASE
#else
        :: hasJob[0] && renewalAge[0] <= MESSAGE_DELAY -> entryLease[0] = ENTRY_LEASE
#endif
        :: else
        fi;
        renewalSent[0] = false;
        renewalAge[0] = 0
    }
    :: atomic {
        renewalSent[1] && !paused[1] && renewalAge[1] <= MESSAGE_DELAY ->
        if
        :: hasJob[1] -> entryLease[1] = ENTRY_LEASE
        :: else
        fi;
        renewalSent[1] = false;
        renewalAge[1] = 0
    }
    :: atomic {
        now < LAST_TICK && owner == 0 ->
        owner = 1;
        claimDelay[1] = CLAIM_DELAY - ticksSinceRenewal;
        assignJob(1)
    }
    :: now == LAST_TICK -> break
    od
}
