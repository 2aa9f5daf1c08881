/*
 * Revisions of the configuration: two operators, and daemons that gossip.
 *
 * Only daemon 0 can read the store. configuration.md names the modules that
 * this mirrors and the steps that it leaves out.
 */

#define OPERATORS 2
#define DAEMONS 3
#ifndef CHANGES
#define CHANGES 2           /* changes that an operator tries to make */
#endif
#define SENDS 2
#define REVISIONS (OPERATORS * CHANGES + 1)

#define OVERTAKEN 1
#define ACCEPTED 2
#define UNSURE 3

/* The row of the environment, and the truth about every revision. */
byte revision = 0;
byte writer[REVISIONS];     /* 0, or the operator who wrote the revision */
byte row_writer = 0;        /* the nonce that stands in the row */

/* Writes in the network; each expects `base` and carries a nonce. */
byte copies[OPERATORS];
byte base[OPERATORS];
bit refuted[OPERATORS];     /* the operator was told that it lost */

/* What the daemons have in force. */
byte installed[DAEMONS];
byte content[DAEMONS];
bit restarted = 0;

inline apply(o) {
    if
#ifdef WRITE_WITHOUT_CONDITION
    :: true ->
#else
    :: revision == base[o] ->
#endif
        assert(writer[base[o] + 1] == 0);
        assert(!refuted[o]);
        revision = base[o] + 1;
        row_writer = o + 1;
        writer[revision] = o + 1
#ifndef WRITE_WITHOUT_CONDITION
    :: else
#endif
    fi
}

proctype Operator(byte o) {
    byte made = 0;
    byte sends;
    byte verdict;

change:
    atomic {
        made++;
        sends = 0;
        verdict = 0;
        refuted[o] = 0;
        copies[o] = 0;          /* earlier writes fail on their base */
        base[o] = revision
    }
send:
    atomic { sends++; copies[o]++ }
    if
    :: atomic { copies[o] > 0 ->
        copies[o]--;
        apply(o);
        if
        :: revision == base[o] + 1 && row_writer == o + 1 -> verdict = ACCEPTED
        :: else -> goto read
        fi }
    :: goto read
    fi;
    goto told;

read:
    /* The answer was lost, or the condition failed. */
    if
    :: d_step { revision == base[o] + 1 ->
#ifdef REVISION_MEANS_ACCEPTED
        verdict = ACCEPTED
#else
        if
        :: row_writer == o + 1 -> verdict = ACCEPTED
        :: else -> verdict = OVERTAKEN
        fi
#endif
        }
    :: d_step { revision > base[o] + 1 ->
#ifdef LATER_REVISION_MEANS_OVERTAKEN
        verdict = OVERTAKEN
#else
        verdict = UNSURE
#endif
        }
    :: d_step { revision == base[o] && sends >= SENDS ->
#ifdef ABSENCE_MEANS_OVERTAKEN
        verdict = OVERTAKEN
#else
        verdict = UNSURE
#endif
        }
    :: revision == base[o] && sends < SENDS -> goto send
    :: verdict = UNSURE             /* the store is out */
    fi;

told:
    atomic {
        if
        :: verdict == ACCEPTED -> assert(writer[base[o] + 1] == o + 1)
        :: verdict == OVERTAKEN ->
            assert(writer[base[o] + 1] != o + 1);
            refuted[o] = 1
        :: else
        fi
    }
    if
    :: made < CHANGES && verdict == OVERTAKEN -> goto change
    :: made < CHANGES && verdict == ACCEPTED -> goto change
    :: true
    fi
}

/* Writes that arrive late. */
proctype Network(byte o) {
end:
    do
    :: d_step { copies[o] > 0 -> copies[o]--; apply(o) }
    od
}

inline install(d, number, whose) {
    assert(number > installed[d]);
    assert(whose == writer[number]);
    installed[d] = number;
    content[d] = whose
}

#define READ(number) \
    d_step { d == 0 && number > installed[d] && number <= revision -> \
        install(d, number, writer[number]) }

#ifdef INSTALL_ANY_REVISION
#define NEWER(p) (installed[p] > 0 && installed[p] != installed[d])
#else
#define NEWER(p) (installed[p] > installed[d])
#endif

/* Learns the number from peer p, and fetches the document from peer q. */
#ifdef DOCUMENT_WITHOUT_DIGEST
#define GOSSIP(p, q) \
    d_step { NEWER(p) && installed[q] > 0 -> \
        install(d, installed[p], content[q]) }
#else
#define GOSSIP(p, q) \
    d_step { NEWER(p) && installed[q] > 0 && content[q] == content[p] && \
        installed[p] == installed[q] -> install(d, installed[p], content[q]) }
#endif

proctype Daemon(byte d) {
end:
    do
    /* An eventually consistent read gives any revision up to the newest. */
    :: READ(1)
    :: READ(2)
#if CHANGES > 1
    :: READ(3)
    :: READ(4)
#endif
#ifndef WITHOUT_GOSSIP
    :: GOSSIP(0, 0)
    :: GOSSIP(0, 1)
    :: GOSSIP(0, 2)
    :: GOSSIP(1, 0)
    :: GOSSIP(1, 1)
    :: GOSSIP(1, 2)
    :: GOSSIP(2, 0)
    :: GOSSIP(2, 1)
    :: GOSSIP(2, 2)
#endif
    /* A daemon that restarts has an empty memory. */
    :: d_step { !restarted && installed[d] > 0 ->
        restarted = 1; installed[d] = 0; content[d] = 0 }
    od
}

/* An accepted revision reaches all that live. */
active proctype Watch() {
end:
    timeout ->
        assert(installed[0] == revision);
        assert(installed[1] == revision);
        assert(installed[2] == revision)
}

init {
    byte i;
    atomic {
        i = 0;
        do
        :: i < OPERATORS -> run Operator(i); run Network(i); i++
        :: else -> break
        od;
        i = 0;
        do
        :: i < DAEMONS -> run Daemon(i); i++
        :: else -> break
        od
    }
}
