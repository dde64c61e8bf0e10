/*
 * No node accepts an API key later than a bound after the store has acknowledged its revocation; see
 * docs/design/shifted-work.md.
 *
 * Node 0 queries the store for the rules version; the response confirms the rules as of the time of the query.
 * Node 1 queries node 0, whose reply contains the age of its confirmation. Queries, responses and replies may take
 * any time. Node 1 may be suspended. Time is discrete. A node accepts the key while its rules contain the key and
 * its confirmation is younger than the bound.
 *
 * A mutant removes one mechanism: -DFROM_ANSWER (the age counts from the arrival of the response), -DWITHOUT_AGE
 * (node 1 ignores the age in the reply), -DFROM_REPLY (the age counts from the arrival of the reply), -DWAIT_PROVES
 * (a wait for changes that has not ended counts as a response), -DSTEADY_CLOCK (the clock stops during a
 * suspension).
 */

#define END 5
#define BOUND 2

byte now;

/* The store. Version 1 revokes the key. */
byte version;
byte acknowledgedAt;

/* Node 0, with a query to the store and a wait for changes. */
byte version0;
bool confirmed0;
byte confirmedAt0;
bool asked0;
byte askedAt0;
bool answered0;
byte answer0;

/* Node 1, with a query to node 0. */
byte version1;
bool confirmed1;
byte confirmedAt1;
bool asked1;
byte askedAt1;
bool replied1;
byte reply1;
byte replyAge1;
bool suspended1;
byte sleptFor1;

#ifdef STEADY_CLOCK
#define NOW1 (now - sleptFor1)
#else
#define NOW1 now
#endif

#define TAKES0 (version0 == 0 && confirmed0 && now - confirmedAt0 < BOUND)
#define TAKES1 (!suspended1 && version1 == 0 && confirmed1 && NOW1 - confirmedAt1 < BOUND)
#define TOO_LATE (version == 1 && now > acknowledgedAt + BOUND)

active proctype World() {
    do
    :: atomic { now < END ->
        now++;
        if
        :: suspended1 -> sleptFor1++
        :: else
        fi }
    :: atomic { version == 0 -> version = 1; acknowledgedAt = now }

    :: atomic { !asked0 -> asked0 = true; askedAt0 = now }
    :: atomic { asked0 && !answered0 -> answered0 = true; answer0 = version }
    :: atomic { answered0 ->
        asked0 = false;
        answered0 = false;
        version0 = (answer0 > version0 -> answer0 : version0);
        confirmed0 = true;
#ifdef FROM_ANSWER
        confirmedAt0 = now
#else
        confirmedAt0 = askedAt0
#endif
       }
    /* The connection breaks. */
    :: atomic { asked0 -> asked0 = false; answered0 = false }
#ifdef WAIT_PROVES
    :: atomic { asked0 && !answered0 -> confirmed0 = true; confirmedAt0 = now }
#endif

    :: atomic { !suspended1 && !asked1 -> asked1 = true; askedAt1 = NOW1 }
    :: atomic { asked1 && !replied1 && confirmed0 ->
        replied1 = true;
        reply1 = version0;
        replyAge1 = now - confirmedAt0 }
    :: atomic { !suspended1 && replied1 && replyAge1 <= askedAt1 ->
        asked1 = false;
        replied1 = false;
        /* A confirmation of a version newer than the one in force here is ignored. */
        if
        :: reply1 <= version1 ->
            confirmed1 = true;
#ifdef WITHOUT_AGE
            confirmedAt1 = askedAt1
#elif defined(FROM_REPLY)
            confirmedAt1 = NOW1 - replyAge1
#else
            confirmedAt1 = askedAt1 - replyAge1
#endif
        :: else
        fi }
    :: atomic { asked1 -> asked1 = false; replied1 = false }
    :: atomic { !suspended1 && sleptFor1 == 0 -> suspended1 = true }
    :: atomic { suspended1 -> suspended1 = false }

    :: atomic { TAKES0 && TOO_LATE -> assert(false) }
    :: atomic { TAKES1 && TOO_LATE -> assert(false) }
    od
}
