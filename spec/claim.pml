/*
 * Claims within one epoch. A majority of three replicas grants a key; the replicas keep it in
 * memory only. A replica may restart, and then reads the two others before it votes.
 *
 * A coordinator models one round of one attempt; each round claims under its own ID. Requests may
 * arrive at any time, more than once, and also after the coordinator has given up. Replies may be
 * delayed or lost. The property: at most one coordinator dispatches.
 *
 * Code: src/core/claim/claim-replica.ts, claim-coordinator.ts. Explained in docs/design/claims.md.
 * Run by spec/claim.check. Each mutation below removes one rule and must violate the property:
 *   NAIVE_RESTART            a restarted replica votes at once, with an empty table
 *   RECOVER_FROM_ONE         it votes after it has read one of the two others
 *   RECOVER_FROM_RECOVERING  it also reads replicas that are still recovering
 *   CONFLICT_TAKES_FIRST     when the tables that it read differ, it adopts the first
 *   NO_INCARNATION_CHECK     a coordinator takes any two grants as a majority
 *   DISPATCH_AFTER_GIVE_UP   a coordinator that gave up still uses grants, also later ones
 *   RELEASE_AFTER_DISPATCH   a coordinator releases its grants after it has dispatched
 *   REUSE_ROUND_ID           a coordinator that gave up claims again under the same id
 */
#define REPLICAS 3
#ifndef COORDINATORS
#define COORDINATORS 2
#endif
#ifndef RESTARTS
#define RESTARTS 2
#endif

/* The holders of the key are a set of coordinators, one bit each. Several holders are a conflict. */
#define FREE 0
#define HOLDER(c) (1 << (c))
#define HOLDS(holders, c) (((holders) & HOLDER(c)) != 0)

#define COLLECTING 0
#define DISPATCHED 1
#define GAVE_UP 2

#define AT(row, column) ((row) * REPLICAS + (column))

/* Replicas. */
byte incarnation[REPLICAS];
bool voting[REPLICAS];
byte holder[REPLICAS];
byte known[9];           /* AT(r, s): incarnation of s known to r */
bool wasRead[9];         /* AT(r, s): recovering replica r has a reply from s */
byte readHolder[9];
byte readIncarnation[9];
byte restarts;

/* Coordinators. */
byte phase[COORDINATORS];
bool releasing[COORDINATORS];
bool granted[COORDINATORS * REPLICAS];        /* AT(c, r) */
byte grantIncarnation[COORDINATORS * REPLICAS];
byte grantKnown[COORDINATORS * 9];            /* AT(AT(c, r), s) */
byte dispatches;
byte undecided = COORDINATORS; /* coordinators that may still dispatch */

/* Prunes runs in which a second dispatch has become impossible. */
#define RELEVANT (undecided + dispatches >= 2)

#ifdef NO_INCARNATION_CHECK
#define AGREE(c, r, s) (granted[AT(c, r)] && granted[AT(c, s)])
#else
#define AGREE(c, r, s) \
  (granted[AT(c, r)] && granted[AT(c, s)] && \
   grantKnown[AT(AT(c, r), s)] == grantIncarnation[AT(c, s)] && \
   grantKnown[AT(AT(c, s), r)] == grantIncarnation[AT(c, r)])
#endif
#define MAJORITY(c) (AGREE(c, 0, 1) || AGREE(c, 0, 2) || AGREE(c, 1, 2))

/* Coordinators are interchangeable, so only runs in which they start in order are explored. */
#define STARTED(c) \
  (phase[c] != COLLECTING || granted[AT(c, 0)] || granted[AT(c, 1)] || granted[AT(c, 2)])
#define MAY_START(c) (c == 0 || STARTED(c - 1))

#ifdef DISPATCH_AFTER_GIVE_UP
#define MAY_DISPATCH(c) (phase[c] != DISPATCHED)
#else
#define MAY_DISPATCH(c) (phase[c] == COLLECTING)
#endif

/* Clears grants that no longer matter, which reduces the number of states. */
inline dropGrants(c) {
  granted[AT(c, 0)] = false;
  granted[AT(c, 1)] = false;
  granted[AT(c, 2)] = false;
  dropGrant(c, 0);
  dropGrant(c, 1);
  dropGrant(c, 2)
}
inline dropGrant(c, r) {
  grantIncarnation[AT(c, r)] = 0;
  grantKnown[AT(AT(c, r), 0)] = 0;
  grantKnown[AT(AT(c, r), 1)] = 0;
  grantKnown[AT(AT(c, r), 2)] = 0
}

/* Replica r handles a claim of c, the first one or a duplicate. The coordinator may use any reply. */
inline handleClaim(c, r) {
  atomic {
    RELEVANT && MAY_START(c) && voting[r] && (holder[r] == FREE || holder[r] == HOLDER(c)) ->
    holder[r] = HOLDER(c);
    if
    :: granted[AT(c, r)] || !MAY_DISPATCH(c) -> skip
    :: MAY_DISPATCH(c) ->
       granted[AT(c, r)] = true;
       grantIncarnation[AT(c, r)] = incarnation[r];
       grantKnown[AT(AT(c, r), 0)] = known[AT(r, 0)];
       grantKnown[AT(AT(c, r), 1)] = known[AT(r, 1)];
       grantKnown[AT(AT(c, r), 2)] = known[AT(r, 2)]
    fi
  }
}

/* Replica r handles a release of c, which may arrive late and more than once. */
inline handleRelease(c, r) {
  atomic {
    RELEVANT && releasing[c] && voting[r] && HOLDS(holder[r], c) ->
    holder[r] = holder[r] - HOLDER(c)
  }
}

proctype Coordinator(byte c) {
  do
  :: handleClaim(c, 0)
  :: handleClaim(c, 1)
  :: handleClaim(c, 2)
  :: atomic {
       MAY_DISPATCH(c) && MAJORITY(c) ->
       phase[c] = DISPATCHED;
       undecided--;
       dispatches++;
       dropGrants(c);
#ifdef REACHABLE
       assert(restarts < RESTARTS)
#else
       assert(dispatches <= 1)
#endif
     }
  :: atomic {
       RELEVANT && phase[c] == COLLECTING ->
       phase[c] = GAVE_UP;
       releasing[c] = true;
#if !defined(DISPATCH_AFTER_GIVE_UP) && !defined(REUSE_ROUND_ID)
       undecided--;
       dropGrants(c)
#endif
     }
  :: handleRelease(c, 0)
  :: handleRelease(c, 1)
  :: handleRelease(c, 2)
#ifdef RELEASE_AFTER_DISPATCH
  :: atomic { phase[c] == DISPATCHED && !releasing[c] -> releasing[c] = true }
#endif
#ifdef REUSE_ROUND_ID
  :: atomic {
       phase[c] == GAVE_UP ->
       phase[c] = COLLECTING;
       dropGrants(c)
     }
#endif
  od
}

#ifdef RECOVER_FROM_RECOVERING
#define READABLE(s) true
#else
#define READABLE(s) voting[s]
#endif

/* Replica s handles a read of the restarted r and so learns its new incarnation. r may use any of
   several replies. */
inline handleRead(r, s) {
  atomic {
    RELEVANT && !voting[r] && READABLE(s) ->
    known[AT(s, r)] = incarnation[r];
    if
    :: wasRead[AT(r, s)] -> skip
    :: true ->
       wasRead[AT(r, s)] = true;
       readHolder[AT(r, s)] = holder[s];
       readIncarnation[AT(r, s)] = incarnation[s]
    fi
  }
}

/* A read sent by an earlier incarnation of r arrives late; its reply is discarded. */
inline handleStaleRead(r, s) {
  atomic {
    RELEVANT && voting[s] && known[AT(s, r)] + 1 < incarnation[r] ->
    known[AT(s, r)] = known[AT(s, r)] + 1
  }
}

inline restart(r, a, b) {
  atomic {
    RELEVANT && restarts < RESTARTS ->
    restarts++;
    incarnation[r]++;
    holder[r] = FREE;
    known[AT(r, r)] = incarnation[r];
    wasRead[AT(r, a)] = false;
    wasRead[AT(r, b)] = false;
    readHolder[AT(r, a)] = FREE;
    readHolder[AT(r, b)] = FREE;
    readIncarnation[AT(r, a)] = 0;
    readIncarnation[AT(r, b)] = 0;
#ifdef NAIVE_RESTART
    voting[r] = true;
    known[AT(a, r)] = incarnation[r];
    known[AT(b, r)] = incarnation[r]
#else
    voting[r] = false
#endif
  }
}

#ifdef RECOVER_FROM_ONE
#define READ_ENOUGH(r, a, b) (wasRead[AT(r, a)] || wasRead[AT(r, b)])
#else
#define READ_ENOUGH(r, a, b) (wasRead[AT(r, a)] && wasRead[AT(r, b)])
#endif

/* The restarted r has enough replies, adopts the holders and votes again. */
inline recover(r, a, b) {
  atomic {
    RELEVANT && !voting[r] && READ_ENOUGH(r, a, b) ->
#ifdef CONFLICT_TAKES_FIRST
    holder[r] = (readHolder[AT(r, a)] == FREE -> readHolder[AT(r, b)] : readHolder[AT(r, a)]);
#else
    holder[r] = readHolder[AT(r, a)] | readHolder[AT(r, b)];
#endif
    known[AT(r, a)] = readIncarnation[AT(r, a)];
    known[AT(r, b)] = readIncarnation[AT(r, b)];
    voting[r] = true;
    wasRead[AT(r, a)] = false;
    wasRead[AT(r, b)] = false;
    readHolder[AT(r, a)] = FREE;
    readHolder[AT(r, b)] = FREE;
    readIncarnation[AT(r, a)] = 0;
    readIncarnation[AT(r, b)] = 0
  }
}

proctype Replica(byte r; byte a; byte b) {
  do
  :: restart(r, a, b)
  :: handleRead(r, a)
  :: handleRead(r, b)
  :: handleStaleRead(r, a)
  :: handleStaleRead(r, b)
  :: recover(r, a, b)
  od
}

init {
  atomic {
    byte c = 0;
    voting[0] = true;
    voting[1] = true;
    voting[2] = true;
    run Replica(0, 1, 2);
    run Replica(1, 0, 2);
    run Replica(2, 0, 1);
    do
    :: c < COORDINATORS -> run Coordinator(c); c++
    :: else -> break
    od;
    c = 0
  }
}
