/* A job of one task starts once, under resubmission, lost owners and late messages.
 *
 * Two entry hosts and two workers. The ledger is one place whose commands are applied one at a time; a command that a
 * host has sent may be applied at any later time, also after the host is gone. A start message may arrive at any later
 * time, or never. The caller submits to either host, and gives up when it is told "not run".
 *
 * Checked: the task starts at most once; after "not run" it never starts; a complete job has started.
 *
 * Variants that have to fail: -DREACHED (claims that no job is complete by its second attempt under its third owner, so
 * that the check is seen to get there), -DNO_INTENT (a task is sent before its attempt is recorded), -DNO_FENCE (a worker that has
 * said of an attempt that it never started takes it all the same), -DBLIND_REFUSAL ("not run" is said without asking the
 * ledger).
 */

#define HOSTS 2
#define WORKERS 2
#define LAST_EPOCH 3
#define LAST_ATTEMPT 2

/* The ledger. */
bool accepted;
byte epoch;
byte owner;
byte attempt;        /* the latest recorded attempt; zero for none */
byte attemptWorker;
bool finished;
bool refusedKey;

/* Messages under way: starts by attempt, with the epoch and the worker that they carry. */
bool startSent[3];
byte startEpoch[3];
byte startWorker[3];

/* The workers. */
bool started[6];     /* [worker * 3 + attempt] */
bool barred[6];
byte highest[WORKERS];

byte starts;
bool toldNotRun;
bool toldComplete;

#define STARTED(w, a) started[(w) * 3 + (a)]
#define BARRED(w, a) barred[(w) * 3 + (a)]

active [HOSTS] proctype Host() {
    byte me = _pid % HOSTS;
    byte myEpoch;
    byte myAttempt;
    byte myWorker;
    bool resolving;
    do
    /* A submission arrives, with a first attempt planned; it is sent once the ledger has taken it. */
    :: atomic {
        myEpoch == 0 && !toldNotRun ->
        select(myWorker : 0 .. 1);
#ifdef NO_INTENT
        if
        :: !startSent[1] || startWorker[1] != myWorker ->
            startSent[1] = true;
            startEpoch[1] = 1;
            startWorker[1] = myWorker
        :: else
        fi;
#endif
    }
    if
    :: atomic {
        !accepted && !refusedKey ->
        accepted = true;
        epoch = 1;
        owner = me;
        attempt = 1;
        attemptWorker = myWorker;
        myEpoch = 1;
        myAttempt = 1
    }
    :: accepted || refusedKey -> skip
    /* The host has no room: the ledger is asked before "not run" is said. */
    :: atomic {
#ifdef BLIND_REFUSAL
        true ->
        toldNotRun = true;
        assert(starts == 0)
#else
        !accepted ->
        refusedKey = true;
        toldNotRun = true;
        assert(starts == 0)
#endif
    }
    fi
    /* Sends what is recorded. */
    :: atomic {
        myEpoch > 0 && myEpoch == epoch && !resolving && myAttempt > 0 && !startSent[myAttempt] ->
        startSent[myAttempt] = true;
        startEpoch[myAttempt] = myEpoch;
        startWorker[myAttempt] = myWorker
    }
    /* An owner that was fenced may not have noticed yet, and still sends. */
    :: atomic {
        myEpoch > 0 && myEpoch < epoch && !resolving && myAttempt > 0 && !startSent[myAttempt] ->
        startSent[myAttempt] = true;
        startEpoch[myAttempt] = myEpoch;
        startWorker[myAttempt] = myWorker
    }
    /* The owner is lost, or only thought to be: the other host takes over and has to ask. */
    :: atomic {
        accepted && !finished && owner != me && epoch < LAST_EPOCH ->
        epoch++;
        owner = me;
        myEpoch = epoch;
        myAttempt = attempt;
        myWorker = attemptWorker;
        resolving = true
    }
    /* The worker says what became of the attempt; from then on it refuses one that it has not started. */
    :: atomic {
        resolving && myEpoch == epoch ->
        if
        :: highest[myWorker] < myEpoch -> highest[myWorker] = myEpoch
        :: else
        fi;
        if
        :: STARTED(myWorker, myAttempt) -> resolving = false
        :: else ->
#ifndef NO_FENCE
            BARRED(myWorker, myAttempt) = true;
#else
            highest[myWorker] = 0;
#endif
            /* A further attempt is recorded, and sent after that. */
            if
            :: attempt < LAST_ATTEMPT && !finished ->
                attempt++;
                myAttempt = attempt;
                select(myWorker : 0 .. 1);
                attemptWorker = myWorker;
                resolving = false
            :: else -> skip
            fi
        fi
    }
    /* The answer of the task: the outcome is recorded before the caller hears it. */
    :: atomic {
        myEpoch > 0 && myEpoch == epoch && !finished && myAttempt > 0 && STARTED(myWorker, myAttempt) ->
        finished = true;
        toldComplete = true;
#ifdef REACHED
        assert(epoch < 3 || attempt < 2);
#endif
        assert(starts == 1)
    }
    /* The process is lost, with all that it knew. */
    :: atomic {
        myEpoch > 0 ->
        myEpoch = 0;
        myAttempt = 0;
        myWorker = 0;
        resolving = false
    }
    od
}

active proctype Network() {
    byte number;
    do
    :: atomic {
        select(number : 1 .. 2);
        if
        :: startSent[number] && !STARTED(startWorker[number], number) && !BARRED(startWorker[number], number) && startEpoch[number] >= highest[startWorker[number]] ->
            STARTED(startWorker[number], number) = true;
            highest[startWorker[number]] = startEpoch[number];
            starts++;
            assert(starts <= 1);
            assert(!toldNotRun)
        :: else
        fi;
        number = 0
    }
    od
}
