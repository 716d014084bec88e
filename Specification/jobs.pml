/* At-most-once start of a job of one task, despite resubmissions, lost owners and delayed messages.
 *
 * The model has two entry hosts and two workers. The ledger is a single process that applies one command at a time. A command
 * that a host has sent may be applied at any later time, even after the host is lost. A start message may arrive at any later
 * time, or never. The client submits to either host, and gives up when it receives "not run".
 *
 * Properties: the task starts at most once; it never starts after "not run" was reported; a job that completes has started.
 *
 * Variants that must fail:
 *   -DREACHED        asserts that no job completes in its second attempt under its third owner, which shows that the search
 *                    reaches this case
 *   -DNO_INTENT      a task is sent before its attempt is recorded
 *   -DNO_FENCE       a worker that has reported an attempt as never started accepts it afterwards
 *   -DBLIND_REFUSAL  "not run" is reported without being recorded in the ledger
 */

#define HOSTS 2
#define WORKERS 2
#define LAST_EPOCH 3
#define LAST_ATTEMPT 2

/* The ledger. */
bool accepted;
byte epoch;
byte owner;
byte attempt; /* the latest recorded attempt; zero if none is recorded */
byte attemptWorker;
bool finished;
bool keyRefused;

/* Start messages in transit by attempt, with their epoch and worker. */
bool startSent[3];
byte startEpoch[3];
byte startWorker[3];

/* The workers. */
bool started[6]; /* [worker * 3 + attempt] */
bool rejected[6];
byte highestEpoch[WORKERS];

byte startCount;
bool reportedNotRun;
bool reportedComplete;

#define STARTED(w, a) started[(w) * 3 + (a)]
#define REJECTED(w, a) rejected[(w) * 3 + (a)]

active [HOSTS] proctype Host() {
    byte self = _pid % HOSTS;
    byte myEpoch;
    byte myAttempt;
    byte myWorker;
    bool resolving;
    do
    /* A submission arrives, and a worker is chosen for the first attempt. The attempt is sent after the ledger has accepted the
       job. */
    :: atomic {
        myEpoch == 0 && !reportedNotRun ->
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
        !accepted && !keyRefused ->
        accepted = true;
        epoch = 1;
        owner = self;
        attempt = 1;
        attemptWorker = myWorker;
        myEpoch = 1;
        myAttempt = 1
    }
    :: accepted || keyRefused -> skip
    /* The host is overloaded. It records the refusal in the ledger before it reports "not run". */
    :: atomic {
#ifdef BLIND_REFUSAL
        true ->
        reportedNotRun = true;
        assert(startCount == 0)
#else
        !accepted ->
        keyRefused = true;
        reportedNotRun = true;
        assert(startCount == 0)
#endif
    }
    fi
    /* The owner sends the recorded attempt. */
    :: atomic {
        myEpoch > 0 && myEpoch == epoch && !resolving && myAttempt > 0 && !startSent[myAttempt] ->
        startSent[myAttempt] = true;
        startEpoch[myAttempt] = myEpoch;
        startWorker[myAttempt] = myWorker
    }
    /* An owner that has been fenced, but does not know it yet, still sends its attempt. */
    :: atomic {
        myEpoch > 0 && myEpoch < epoch && !resolving && myAttempt > 0 && !startSent[myAttempt] ->
        startSent[myAttempt] = true;
        startEpoch[myAttempt] = myEpoch;
        startWorker[myAttempt] = myWorker
    }
    /* The owner is lost or suspected. The other host takes over the job, and must query the worker about the attempt. */
    :: atomic {
        accepted && !finished && owner != self && epoch < LAST_EPOCH ->
        epoch++;
        owner = self;
        myEpoch = epoch;
        myAttempt = attempt;
        myWorker = attemptWorker;
        resolving = true
    }
    /* The worker reports the state of the attempt. A worker that has not started the attempt rejects it from now on. */
    :: atomic {
        resolving && myEpoch == epoch ->
        if
        :: highestEpoch[myWorker] < myEpoch -> highestEpoch[myWorker] = myEpoch
        :: else
        fi;
        if
        :: STARTED(myWorker, myAttempt) -> resolving = false
        :: else ->
#ifndef NO_FENCE
            REJECTED(myWorker, myAttempt) = true;
#else
            highestEpoch[myWorker] = 0;
#endif
            /* A further attempt is recorded first and sent afterwards. */
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
    /* The task answers. The outcome is recorded before it is reported to the client. */
    :: atomic {
        myEpoch > 0 && myEpoch == epoch && !finished && myAttempt > 0 && STARTED(myWorker, myAttempt) ->
        finished = true;
        reportedComplete = true;
#ifdef REACHED
        assert(epoch < 3 || attempt < 2);
#endif
        assert(startCount == 1)
    }
    /* The process is lost with its volatile state. */
    :: atomic {
        myEpoch > 0 ->
        myEpoch = 0;
        myAttempt = 0;
        myWorker = 0;
        resolving = false
    }
    od
}

/* Delivers start messages. A worker starts an attempt unless it has rejected the attempt or has seen a higher epoch. */
active proctype Network() {
    byte number;
    do
    :: atomic {
        select(number : 1 .. 2);
        if
        :: startSent[number] && !STARTED(startWorker[number], number) && !REJECTED(startWorker[number], number) && startEpoch[number] >= highestEpoch[startWorker[number]] ->
            STARTED(startWorker[number], number) = true;
            highestEpoch[startWorker[number]] = startEpoch[number];
            startCount++;
            assert(startCount <= 1);
            assert(!reportedNotRun)
        :: else
        fi;
        number = 0
    }
    od
}
