/*
 * Two nodes never count the limits of one group of tenants at the same time; see
 * docs/design/shifted-work.md.
 *
 * A node writes the group's key to the store under a lease, and renews the lease. It counts until the lease
 * duration has passed since it sent the last request that the store granted. Requests and responses may take any
 * time. Node 1 may be suspended; node 0 may be stopped and started again, and then takes over its own key. When it
 * stops it releases the key, with a write that the store may do at any later time while the key has the revision
 * that this node wrote. A node that holds the key renews its lease without looking at the key. Time is discrete.
 *
 * A mutant removes one mechanism: -DFROM_ANSWER (the lease duration starts when the response arrives), -DUNTIL_TOLD
 * (a holder counts until a response says that the lease has ended), -DSTEADY_CLOCK (the clock stops during a
 * suspension), -DBLIND_WRITE (the key is written without the condition that no other node holds it),
 * -DADOPT_BY_RENEWAL (a node that is started again renews the lease of its key without writing the key).
 */

#define END 5
#define LIFE 2
#define NONE 2

byte now;

/* The store. */
byte holder = NONE;
byte leaseEndsAt[2];
bool releasePending;
/* Whether the key still has the revision that the release expects. */
bool releaseMatches;

/* The nodes. */
bool holds[2];
byte confirmedAt[2];
bool asked[2];
byte askedAt[2];
bool answered[2];
bool granted[2];
bool suspended[2];
byte sleptFor[2];
bool stopped;
hidden byte askedAtBefore;

#ifdef STEADY_CLOCK
#define NOW(node) (now - sleptFor[node])
#else
#define NOW(node) now
#endif

#ifdef UNTIL_TOLD
#define COUNTS(node) (holds[node] && !suspended[node])
#else
#define COUNTS(node) (holds[node] && !suspended[node] && NOW(node) - confirmedAt[node] < LIFE)
#endif

active proctype World() {
    do
    :: atomic { now < END ->
        now++;
        if
        :: suspended[1] -> sleptFor[1]++
        :: else
        fi;
        if
        :: holder != NONE && now >= leaseEndsAt[holder] ->
            holder = NONE;
            releaseMatches = false
        :: else
        fi }
    :: atomic { releasePending ->
        releasePending = false;
        if
        :: releaseMatches -> holder = NONE
        :: else
        fi;
        releaseMatches = false }
    /* Node 0. */
    :: atomic { !suspended[0] && !asked[0] ->
        asked[0] = true;
        askedAt[0] = NOW(0) }
    :: atomic { asked[0] && !answered[0] ->
        answered[0] = true;
        if
        :: holds[0] && now < leaseEndsAt[0] ->
            leaseEndsAt[0] = now + LIFE;
            granted[0] = true
#ifdef ADOPT_BY_RENEWAL
        :: !holds[0] && holder == 0 ->
            leaseEndsAt[0] = now + LIFE;
            granted[0] = true
#endif
#ifdef BLIND_WRITE
        :: !holds[0] ->
#else
        :: !holds[0] && (holder == NONE || holder == 0) ->
#endif
            holder = 0;
            releaseMatches = false;
            leaseEndsAt[0] = now + LIFE;
            granted[0] = true
        :: else -> granted[0] = false
        fi }
    :: atomic { !suspended[0] && answered[0] ->
        asked[0] = false;
        answered[0] = false;
        askedAtBefore = askedAt[0];
        askedAt[0] = 0;
        holds[0] = granted[0];
#ifdef FROM_ANSWER
        confirmedAt[0] = NOW(0);
#else
        confirmedAt[0] = askedAtBefore;
#endif
        askedAtBefore = 0;
        granted[0] = false
       }
    :: atomic { asked[0] ->
        asked[0] = false;
        answered[0] = false;
        granted[0] = false;
        askedAt[0] = 0 }
    /* Node 1. */
    :: atomic { !suspended[1] && !asked[1] ->
        asked[1] = true;
        askedAt[1] = NOW(1) }
    :: atomic { asked[1] && !answered[1] ->
        answered[1] = true;
        if
        :: holds[1] && now < leaseEndsAt[1] ->
            leaseEndsAt[1] = now + LIFE;
            granted[1] = true
#ifdef BLIND_WRITE
        :: !holds[1] ->
#else
        :: !holds[1] && (holder == NONE || holder == 1) ->
#endif
            holder = 1;
            releaseMatches = false;
            leaseEndsAt[1] = now + LIFE;
            granted[1] = true
        :: else -> granted[1] = false
        fi }
    :: atomic { !suspended[1] && answered[1] ->
        asked[1] = false;
        answered[1] = false;
        askedAtBefore = askedAt[1];
        askedAt[1] = 0;
        holds[1] = granted[1];
#ifdef FROM_ANSWER
        confirmedAt[1] = NOW(1);
#else
        confirmedAt[1] = askedAtBefore;
#endif
        askedAtBefore = 0;
        granted[1] = false
       }
    :: atomic { asked[1] ->
        asked[1] = false;
        answered[1] = false;
        granted[1] = false;
        askedAt[1] = 0 }
    :: atomic { !suspended[1] && sleptFor[1] == 0 -> suspended[1] = true }
    :: atomic { suspended[1] -> suspended[1] = false }
    :: atomic { !stopped ->
        stopped = true;
        releasePending = holds[0];
        releaseMatches = holds[0] && holder == 0;
        holds[0] = false;
        asked[0] = false;
        answered[0] = false }
    :: atomic { COUNTS(0) && COUNTS(1) -> assert(false) }
    od
}
