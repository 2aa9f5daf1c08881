/*
 * Attempts at gates, resolve with a binding "never", claims on operations.
 *
 * One operation arrives at every edge with the same key. An edge claims it,
 * makes up to TRIES attempts and answers. attempts.md names the modules that
 * this mirrors and the steps that it leaves out.
 */

#ifndef EDGES
#define EDGES 2
#endif
#ifndef TRIES
#define TRIES 1
#endif
#define ATTEMPTS (EDGES * TRIES)
#define GATES 2
#ifndef RESOLVES
#define RESOLVES 2
#endif
#ifdef TICKET
#define CLAIM_WRITES 1
#else
#define CLAIM_WRITES 2
#endif

/* The ledger of a gate, by attempt. */
#define ABSENT 0
#define QUEUED 1
#define RUNNING 2
#define FINISHED 3
#define NEVER 4

/* The ages of a ledger epoch: accepted, kept for answers, forgotten. */
#define ACCEPTED 0
#define KEPT 1
#define FORGOTTEN 2

/* What the upstream does with an attempt that was started. */
#define IDLE 0
#define GIVEN 1
#define EXECUTED 2
#define DECLINED 3

/* What an edge tells its caller. */
#define RAN 1
#define NOT_RUN 2
#define UNKNOWN 3
#define CONFLICT 4
#define CRASHED 5

/* SETTLE: faults are counted, and without them nothing is lost or early. */
#ifdef SETTLE
byte faults = 3;
#define MAY_FAIL (faults > 0)
#define FAIL faults--
#define MAY_RESOLVE (1)
#else
#define MAY_FAIL (1)
#define FAIL skip
#define MAY_RESOLVE (resolves < RESOLVES)
#endif

byte copies[ATTEMPTS];      /* attempts in the network */
byte questions[ATTEMPTS];   /* resolve requests in the network */
byte addressed[ATTEMPTS];   /* the incarnation that an attempt names */
byte ledger[ATTEMPTS];
byte work[ATTEMPTS];
byte incarnation[GATES];
byte age[ATTEMPTS];         /* the epoch of the attempt, as the gate sees it */
bit restarted = 0;
bit crashed = 0;

/* Answers in the network, by attempt. */
bit reply_ran[ATTEMPTS];
bit reply_not_run[ATTEMPTS];
bit reply_other[ATTEMPTS];      /* another incarnation */
bit reply_duplicate[ATTEMPTS];
bit found_never[ATTEMPTS];
bit found_busy[ATTEMPTS];
bit found_ran[ATTEMPTS];
bit found_other[ATTEMPTS];

/* The row of the operation: 0 is absent, else the nonce of an edge. */
byte row = 0;
bit stored = 0;                 /* the outcome stands in the row */
byte claims[EDGES];             /* claim writes in the network */
byte releases[EDGES];           /* release writes in the network */
bit guard_restarted = 0;        /* TICKET: the guard lost its memory */

/* What really happened. */
byte executions = 0;
bit executed[ATTEMPTS];
bit told_not_run[ATTEMPTS];
byte answer[EDGES];

/* A guard that restarted refuses tickets of its former incarnation. */
#if defined(TICKET) && !defined(NO_TICKET_INCARNATION)
#define REFUSED (guard_restarted)
#else
#define REFUSED (0)
#endif
#define GATE_OF(a) (((a) / TRIES + (a) % TRIES) % GATES)

inline receive(a) {
    if
#ifndef NO_INCARNATION_CHECK
    :: addressed[a] != incarnation[GATE_OF(a)] ->
        reply_other[a] = 1
    :: addressed[a] == incarnation[GATE_OF(a)] ->
#else
    :: true ->
#endif
        if
        :: ledger[a] == ABSENT ->
            if
#ifndef FORGOTTEN_ATTEMPTS_ARE_ACCEPTED
            :: age[a] == FORGOTTEN -> reply_duplicate[a] = 1
#else
            :: age[a] == FORGOTTEN -> ledger[a] = QUEUED
#endif
            :: age[a] == KEPT -> reply_not_run[a] = 1
            :: age[a] == ACCEPTED -> ledger[a] = QUEUED
            fi
        :: ledger[a] == NEVER -> reply_not_run[a] = 1
        :: else -> reply_duplicate[a] = 1
        fi
    fi
}

inline resolve(a) {
    if
    :: addressed[a] != incarnation[GATE_OF(a)] ->
#ifdef RESTARTED_GATE_SAYS_NEVER
        found_never[a] = 1
#else
        found_other[a] = 1
#endif
    :: else ->
        if
#ifndef FORGOTTEN_MEANS_NEVER
        :: ledger[a] == ABSENT && age[a] == FORGOTTEN -> found_other[a] = 1
        :: ledger[a] == ABSENT && age[a] != FORGOTTEN ->
#else
        :: ledger[a] == ABSENT ->
#endif
#ifndef RESOLVE_DOES_NOT_BIND
            ledger[a] = NEVER;
#endif
            found_never[a] = 1
        :: ledger[a] == NEVER -> found_never[a] = 1
        :: ledger[a] == FINISHED -> found_ran[a] = 1
        :: else -> found_busy[a] = 1
        fi
    fi
}

/* The gate and the upstream, as far as they concern one attempt. */
proctype Gate(byte a) {
end:
    do
    :: d_step { copies[a] > 0 -> copies[a]--; receive(a) }
    :: d_step { questions[a] > 0 -> questions[a]--; resolve(a) }
    :: d_step { ledger[a] == QUEUED -> ledger[a] = RUNNING; work[a] = GIVEN }
    :: d_step { ledger[a] == QUEUED ->
#ifdef SHED_IS_NOT_RECORDED
        ledger[a] = ABSENT;
#else
        ledger[a] = NEVER;
#endif
        reply_not_run[a] = 1 }
#ifdef EPOCHS
    :: d_step { age[a] < FORGOTTEN && addressed[a] == incarnation[GATE_OF(a)] ->
        age[a]++;
        if
        :: age[a] == FORGOTTEN &&
            (ledger[a] == FINISHED || ledger[a] == NEVER) -> ledger[a] = ABSENT
        :: else
        fi }
#endif
    :: d_step { work[a] == GIVEN ->
        work[a] = EXECUTED;
        executions++;
        executed[a] = 1;
        assert(executions <= 1);
        assert(!told_not_run[a]) }
    :: d_step { work[a] == GIVEN -> work[a] = DECLINED }
    :: d_step { ledger[a] == RUNNING && work[a] == EXECUTED ->
        ledger[a] = FINISHED; reply_ran[a] = 1 }
    :: d_step { ledger[a] == RUNNING && work[a] == DECLINED ->
        ledger[a] = NEVER; reply_not_run[a] = 1 }
    od
}

/* A gate that restarts forgets its ledger; its upstream works on. */
proctype Restart(byte g) {
    byte a;
end:
    if
    :: atomic { !restarted && MAY_FAIL ->
        FAIL;
        restarted = 1;
        incarnation[g]++;
        a = 0;
        do
        :: a < ATTEMPTS ->
            if
            :: GATE_OF(a) == g -> ledger[a] = ABSENT
            :: else
            fi;
            a++
        :: else -> break
        od;
        a = 0 }
    fi
}

inline apply_claim(e) {
    if
    :: row == 0 -> row = e + 1
    :: else
    fi
}

inline apply_release(e) {
    if
#ifdef RELEASE_WITHOUT_NONCE
    :: !stored -> row = 0
#else
    :: row == e + 1 && !stored -> row = 0
#endif
    :: else
    fi
}

/* The table, or with TICKET the memory of the guard, for late writes. */
proctype Store(byte e) {
end:
    do
    :: d_step { claims[e] > 0 && !REFUSED -> claims[e]--; apply_claim(e) }
    :: d_step { releases[e] > 0 && !REFUSED ->
        releases[e]--; apply_release(e) }
#ifdef TICKET
    :: d_step { e == 0 && !guard_restarted ->
        guard_restarted = 1; row = 0; stored = 0 }
#endif
    od
}

proctype Edge(byte e) {
    byte n = 0;
    byte a;
    byte writes = 0;
    byte resolves = 0;

claim:
    atomic {
        writes++;
        if
        :: claims[e]++
        :: MAY_FAIL -> FAIL; claims[e] = claims[e] + 2
        fi
    }
    if
    :: atomic { claims[e] > 0 && !REFUSED ->
        claims[e]--;
        apply_claim(e);
        if
        :: row == e + 1 -> goto attempt
        :: else -> answer[e] = CONFLICT; goto done
        fi }
    :: REFUSED -> answer[e] = UNKNOWN; goto done
    :: claims[e] == 0 -> goto read
    :: atomic { MAY_FAIL -> FAIL; goto read }
    fi;

read:
    /* The answer of the write was lost. */
    if
    :: REFUSED -> answer[e] = UNKNOWN; goto done
    :: !REFUSED && row == e + 1 -> goto attempt
#ifdef CLAIM_WITHOUT_NONCE
    :: !REFUSED && row != 0 && !stored -> goto attempt
#else
    :: !REFUSED && row != 0 && row != e + 1 -> answer[e] = CONFLICT; goto done
#endif
    :: !REFUSED && row == 0 && writes < CLAIM_WRITES -> goto claim
    :: !REFUSED && row == 0 && writes >= CLAIM_WRITES -> goto refuse
    :: atomic { MAY_FAIL -> FAIL; goto refuse }
    fi;

attempt:
    atomic {
        a = e * TRIES + n;
        addressed[a] = incarnation[GATE_OF(a)];
        if
        :: addressed[a] > 0 -> addressed[a]--     /* gossip lags */
        :: true
        fi;
        copies[a] = 1;
#ifdef DOUBLING
        if
        :: MAY_FAIL -> FAIL; copies[a] = 2
        :: true
        fi
#endif
    }

wait:
    if
    :: reply_ran[a] -> goto ran
    :: reply_not_run[a] -> goto next
    :: reply_other[a] ->
#if defined(DOUBLING) && !defined(OTHER_INCARNATION_MEANS_NOT_RUN)
        goto unknown
#else
        goto next
#endif
#ifdef SETTLE
    /* The connections of a gate that restarts break. */
    :: addressed[a] != incarnation[GATE_OF(a)] -> goto ask
#endif
    :: reply_duplicate[a] ->
#ifdef DUPLICATE_MEANS_NOT_RUN
        goto next
#else
        goto ask
#endif
    :: atomic { MAY_FAIL -> FAIL; goto ask }
    :: atomic { MAY_FAIL && !crashed -> FAIL; crashed = 1; answer[e] = CRASHED;
        goto done }
    fi;

ask:
    if
    :: atomic { MAY_RESOLVE ->
        questions[a]++;
#ifndef SETTLE
        resolves++
#endif
        }
    :: !(MAY_RESOLVE) -> goto unknown
    fi;
    if
    :: reply_ran[a] || found_ran[a] -> goto ran
    :: reply_not_run[a] || found_never[a] -> goto next
    :: found_other[a] -> goto unknown
    :: atomic { found_busy[a] ->
        found_busy[a] = 0;
#ifdef BUSY_MEANS_UNKNOWN
        goto unknown
#else
        goto ask_later
#endif
        }
    :: atomic { MAY_FAIL ->
        FAIL;
#ifdef SILENCE_MEANS_NOT_RUN
        goto next
#else
        goto ask
#endif
        }
    fi;

ask_later:
#ifdef SETTLE
    /* Asking again and again is left out: wait until the answer differs. */
    (reply_ran[a] || reply_not_run[a] || ledger[a] == FINISHED ||
        ledger[a] == NEVER || addressed[a] != incarnation[GATE_OF(a)]);
#endif
    goto ask;

ran:
    atomic {
        assert(executed[a]);
        if
        :: row == e + 1 -> stored = 1
        :: else
        fi;
        answer[e] = RAN;
    }
    goto done;

unknown:
#ifdef RELEASE_AFTER_UNKNOWN
    releases[e] = 1;
#endif
    answer[e] = UNKNOWN;
#ifdef SETTLE
    assert(restarted || crashed);
#endif
    goto done;

next:
    atomic {
        assert(!executed[a]);
        told_not_run[a] = 1;
        n++;
        if
        :: n < TRIES -> resolves = 0; goto attempt
        :: else
        fi;
        releases[e] = 1;
        if
        :: MAY_FAIL -> FAIL; releases[e] = 2
        :: true
        fi
    }

refuse:
    answer[e] = NOT_RUN;

done:
    assert(answer[e] != 0)
}

init {
    byte i;
    atomic {
        i = 0;
        do
        :: i < ATTEMPTS -> run Gate(i); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < GATES -> run Restart(i); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < EDGES -> run Store(i); run Edge(i); i++
        :: else -> break
        od
    }
}
