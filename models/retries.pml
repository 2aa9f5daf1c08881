/*
 * The pool of retries of one chain, handed down a tree of calls.
 *
 * Hop 0 is the first edge; a hop calls the next ones. retries.md names the
 * module that this mirrors and the steps that it leaves out.
 */

#define POOL 3
#define HOPS 4          /* 0 calls 1 and 2; 1 calls 3 */
#define CALLS 3         /* calls that one hop makes at most, first tries too */

#define SILENT 0
#define CALLED 1
#define ENDED 2

byte left[HOPS];            /* retries that a hop holds */
byte lent[HOPS];            /* retries given to this hop, not yet accounted */
byte state[HOPS];
byte requests[HOPS];        /* copies of the call in the network */
byte granted[HOPS];         /* the retries that the call carries */
byte answers[HOPS];         /* copies of the answer in the network */
byte unused[HOPS];          /* the retries that the answer reports */
byte spent = 0;

#define PARENT(h) ((h) == 3 -> 1 : 0)

/* A call arrives; the ledger of the gate lets one copy in. */
inline arrive(h) {
    requests[h]--;
    if
#ifdef DOUBLED_CALL_STARTS_TWICE
    :: true -> left[h] = left[h] + granted[h]; state[h] = CALLED
#else
    :: state[h] == SILENT -> left[h] = granted[h]; state[h] = CALLED
    :: else
#endif
    fi
}

/* An answer arrives, perhaps late, perhaps again. */
inline take_back(h, p) {
    answers[h]--;
    if
#ifdef ANSWER_CREDITED_TWICE
    :: state[p] == CALLED -> left[p] = left[p] + unused[h]
#else
    :: state[p] == CALLED && lent[h] > 0 ->
        left[p] = left[p] + (unused[h] < lent[h] -> unused[h] : lent[h]);
        lent[h] = 0
#endif
    :: else
    fi
}

inline retry(p) {
    left[p]--;
    spent++;
    assert(spent <= POOL)
}

/* Calls a child for the first time, with a part of the pool. */
inline call(p, c) {
    byte part;
    select (part : 0 .. POOL);
    if
    :: part > left[p] -> part = left[p]
    :: else
    fi;
    granted[c] = part;
    lent[c] = part;
#ifndef HAND_OVER_COPIES
    left[p] = left[p] - part;
#endif
    requests[c] = 2;
    part = 0
}

proctype Hop(byte h) {
    byte made = 0;
end:
    do
    :: atomic { h != 0 && requests[h] > 0 -> arrive(h) }
    :: atomic { state[h] == CALLED && left[h] > 0 && made < CALLS ->
        retry(h); made++ }
    :: atomic { h == 0 && state[1] == SILENT && requests[1] == 0 &&
        state[h] == CALLED && granted[1] == 0 && lent[1] == 0 -> call(h, 1) }
    :: atomic { h == 0 && state[2] == SILENT && requests[2] == 0 &&
        state[h] == CALLED && granted[2] == 0 && lent[2] == 0 -> call(h, 2) }
    :: atomic { h == 1 && state[3] == SILENT && requests[3] == 0 &&
        state[h] == CALLED && granted[3] == 0 && lent[3] == 0 -> call(h, 3) }
    :: atomic { h != 0 && answers[h] > 0 -> take_back(h, PARENT(h)) }
    :: atomic { h != 0 && state[h] == CALLED ->
        /* The answer: the pool is sealed and reported. */
        unused[h] = left[h];
#ifndef REPORT_WITHOUT_SEAL
        left[h] = 0;
        state[h] = ENDED;
#endif
        answers[h] = 2 }
#ifdef SILENCE_RETURNS_THE_PART
    :: atomic { h != 0 && lent[h] > 0 && state[PARENT(h)] == CALLED ->
        left[PARENT(h)] = left[PARENT(h)] + lent[h]; lent[h] = 0 }
#endif
    od
}

init {
    byte i;
    atomic {
        left[0] = POOL;
        state[0] = CALLED;
        i = 0;
        do
        :: i < HOPS -> run Hop(i); i++
        :: else -> break
        od
    }
}
