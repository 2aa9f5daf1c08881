/*
 * The lease on one shard, its witness and taker, and grants of tokens.
 *
 * The holder has the shard at first; the witness declares it dead and takes
 * the shard over. All ages are in ticks, each on its owner's clock. A process
 * that does nothing while ticks pass is paused or slow. leases.md names the
 * modules that this mirrors and the steps that it leaves out.
 */

#define LEASE 4
#define GRANTED 2           /* the short lease that a witness grants */
#define MARGIN 1
#define EDGE_VALIDITY 2
#define LENDER_VALIDITY 3
#define BURST 2             /* one token is minted each tick */
#define GRANTS 2

#ifdef LEASE_WITHOUT_MARGIN_OR_WAIT
#define LAPSED (1)
#else
#define LAPSED (still >= LEASE + MARGIN || granted_age >= GRANTED + MARGIN)
#endif

/*
 * The search is done in two halves. NO_GRANTS leaves out the grants.
 * NO_LEASE leaves out the lease and keeps what the first half shows about
 * it: the holder may lose the shard at any time, and never has it again.
 */
#if defined(PROMPT) && !defined(NO_GRANTS)
#define NO_GRANTS
#endif

/* PROMPT: time passes only when every process has done its work. */
#ifdef PROMPT
byte faults = 2;
#define MAY_FAIL (faults > 0)
#define FAIL faults--
#define IDLE (HOLDER_IDLE && TABLE_IDLE && WITNESS_IDLE)
#define HOLDER_IDLE (crashed || lost || (!dead && renewed_age == 0 && \
    witness_age == 0 && renewal == NO_RENEWAL && asking == NOT_ASKED))
#define TABLE_IDLE (renewal != SENT && !fence_in_flight)
#define WITNESS_IDLE (!moved && asking != ASKED && \
    (dead -> taken : !LAPSED))
#define RENEWAL_DUE (renewed_age > 0)
#define ASKING_DUE (witness_age > 0)
#else
#define MAY_FAIL (1)
#define FAIL skip
#define IDLE (1)
#define RENEWAL_DUE (1)
#define ASKING_DUE (1)
#endif

/* The heartbeat row of the holder, and the shard row. */
bit dead = 0;
bit moved = 0;              /* the counter moved since the witness read it */
bit taken = 0;              /* the shard row names the taker */

/* The holder. */
#define NO_RENEWAL 0
#define SENT 1
#define APPLIED 2
byte renewal = NO_RENEWAL;
byte sent_age = 0;
byte renewed_age = 0;
byte witness_age = 0;
#define NOT_ASKED 0
#define ASKED 1
#define ANSWERED 2
byte asking = NOT_ASKED;
byte ask_age = 0;
bit lost = 0;               /* the holder knows that it holds nothing */
bit stopping = 0;
bit crashed = 0;

/* The witness, which is also the taker. */
byte still = 0;             /* how long it has watched the row stand still */
byte granted_age = 0;
bit fencing = 0;
bit fence_in_flight = 0;
bit overtaken = 0;          /* the counter moved since the fence was sent */
bit held = 0;
byte start_in = 0;

/* The buckets, and the bucket of all tokens that may be minted. */
byte level = BURST;
byte taker_level = 0;
byte mintable = BURST;

/* Grants, as the edge and the lender see them. */
#define FREE 0
#define WANTED 1
#define ON_THE_WAY 2
#define CREDITED 3
#define SPENT 4
byte grant[GRANTS];
byte grant_age[GRANTS];
bit loan[GRANTS];
byte loan_age[GRANTS];

#ifdef NO_LEASE
#define USABLE (!lost)
#else
#define USABLE (!lost && !crashed && renewed_age < LEASE && \
    witness_age < GRANTED)
#endif

inline spend() {
    assert(mintable > 0);
    mintable--
}

inline grow(age, most) {
    if
    :: age < most -> age++
    :: else
    fi
}

active proctype Holder() {
end:
    do
#ifndef NO_LEASE
    :: d_step { !lost && !crashed && renewal == NO_RENEWAL && RENEWAL_DUE ->
        renewal = SENT; sent_age = 0 }
    :: d_step { !lost && !crashed && renewal == APPLIED ->
        renewal = NO_RENEWAL;
#ifdef LEASE_FROM_ANSWER
        renewed_age = 0
#else
        renewed_age = sent_age
#endif
        }
    :: d_step { !lost && !crashed && dead && renewal != APPLIED ->
        lost = 1; renewal = NO_RENEWAL; level = 0; loan[0] = 0; loan[1] = 0 }
    :: d_step { !lost && !crashed && asking == NOT_ASKED && ASKING_DUE ->
        asking = ASKED; ask_age = 0 }
    :: d_step { MAY_FAIL && asking != NOT_ASKED ->
        FAIL; asking = NOT_ASKED; ask_age = 0 }
    :: d_step { !crashed && asking == ANSWERED ->
        asking = NOT_ASKED;
        if
#ifdef WITNESS_LEASE_FROM_ANSWER
        :: true -> witness_age = 0
#else
        :: ask_age < witness_age -> witness_age = ask_age
        :: else
#endif
        fi;
        ask_age = 0 }
#endif
#ifdef PROMPT
    :: d_step { MAY_FAIL && !crashed -> FAIL; crashed = 1 }
#else
    :: d_step { USABLE && level > 0 -> level--; spend(); assert(!held) }
    /* A planned stop: drop the shard, then declare the own row dead. */
    :: d_step { !lost -> lost = 1; stopping = 1;
        level = 0; loan[0] = 0; loan[1] = 0 }
    :: d_step { stopping && renewal == APPLIED -> renewal = NO_RENEWAL }
    :: d_step { stopping && renewal == NO_RENEWAL && !dead ->
        dead = 1; moved = 1; overtaken = 1 }
#endif
    od
}

#ifndef NO_LEASE
active proctype Table() {
end:
    do
#ifdef RENEWAL_OF_A_DEAD_ROW
    :: d_step { renewal == SENT -> renewal = APPLIED; moved = 1;
        overtaken = 1 }
#else
    :: d_step { renewal == SENT && !dead -> renewal = APPLIED; moved = 1;
        overtaken = 1 }
#endif
    :: d_step { renewal == SENT && dead -> renewal = NO_RENEWAL; sent_age = 0 }
#ifdef FENCE_WITHOUT_CONDITION
    :: d_step { fence_in_flight -> fence_in_flight = 0; dead = 1 }
#else
    :: d_step { fence_in_flight && !overtaken ->
        fence_in_flight = 0; dead = 1 }
#endif
    :: d_step { fence_in_flight && overtaken -> fence_in_flight = 0 }
    od
}
#endif

active proctype Witness() {
end:
    do
#ifndef NO_LEASE
    :: d_step { moved ->
        moved = 0;
        still = 0;
        if
        :: !dead && !fence_in_flight -> fencing = 0
        :: else
        fi }
#ifdef GRANTS_WHILE_FENCING
    :: d_step { asking == ASKED -> asking = ANSWERED; granted_age = 0 }
#else
    :: d_step { asking == ASKED && !fencing ->
        asking = ANSWERED; granted_age = 0 }
    :: d_step { asking == ASKED && fencing -> asking = NOT_ASKED; ask_age = 0 }
#endif
    :: d_step { !dead && !fence_in_flight && !moved && LAPSED ->
        fencing = 1; fence_in_flight = 1; overtaken = 0 }
#endif
#ifdef TAKER_NEVER_TAKES
    :: d_step { dead && !taken -> taken = 1 }
#else
    :: d_step { dead && !taken ->
        taken = 1;
        held = 1;
        assert(!USABLE);
#ifndef TAKER_STARTS_AT_ONCE
        start_in = LENDER_VALIDITY;
#endif
        }
#endif
#ifndef PROMPT
    :: d_step { held && taker_level > 0 && start_in == 0 ->
        taker_level--; spend() }
#endif
    od
}

#ifndef NO_GRANTS
active [GRANTS] proctype Edge() {
    byte g = _pid % GRANTS;
end:
    do
    :: d_step { grant[g] == FREE && !loan[g] ->
        grant[g] = WANTED; grant_age[g] = 0 }
    :: d_step { grant[g] == WANTED && USABLE && level > 0 ->
        grant[g] = ON_THE_WAY;
#ifndef LOANS_ARE_NOT_COUNTED
        loan[g] = 1;
#endif
        loan_age[g] = 0;
        level-- }
    :: d_step { grant[g] == ON_THE_WAY ->
        grant[g] = CREDITED;
#ifdef GRANT_COUNTED_FROM_ARRIVAL
        grant_age[g] = 0
#endif
        }
    :: d_step { grant[g] == CREDITED && grant_age[g] < EDGE_VALIDITY ->
        grant[g] = SPENT; spend() }
#ifdef GRANT_CREDITED_TWICE
    :: d_step { grant[g] == SPENT -> grant[g] = CREDITED }
#endif
    /* The grant was lost, or its time is over, or it was used up. */
    :: d_step { grant[g] != FREE -> grant[g] = FREE; grant_age[g] = 0 }
    od
}
#endif

inline pass_grant(g) {
    if
    :: grant[g] != FREE -> grow(grant_age[g], EDGE_VALIDITY)
    :: else
    fi;
    if
    :: loan[g] ->
        loan_age[g]++;
        if
        :: loan_age[g] >= LENDER_VALIDITY -> loan[g] = 0; loan_age[g] = 0
        :: else
        fi
    :: else -> loan_age[g] = 0
    fi
}

active proctype Clock() {
end:
    do
    :: d_step { IDLE ->
#ifndef NO_LEASE
        if
        :: !lost -> grow(renewed_age, LEASE); grow(witness_age, GRANTED)
        :: else -> renewed_age = LEASE; witness_age = GRANTED
        fi;
        if
        :: renewal != NO_RENEWAL -> grow(sent_age, LEASE)
        :: else -> sent_age = 0
        fi;
        if
        :: asking != NOT_ASKED -> grow(ask_age, GRANTED)
        :: else
        fi;
        grow(still, LEASE + MARGIN);
        grow(granted_age, GRANTED + MARGIN);
#endif
        pass_grant(0);
        pass_grant(1);
        if
        :: !lost && level + loan[0] + loan[1] < BURST -> level++
        :: else
        fi;
        if
        :: start_in > 0 -> start_in--
        :: start_in == 0 && held && taker_level < BURST -> taker_level++
        :: else
        fi;
        grow(mintable, BURST) }
    od
}

#ifdef PROMPT
/* When faults stop, the shard is held by a process that lives. */
ltl holding { <>[] (USABLE || held) }
#endif
