/*
 * Change of epoch of a replica group. The members of epoch 0 (nodes 0, 1, 2) stop voting and
 * agree on one record of epoch 1 by single-decree Paxos. The new members start with the tables
 * that came with the promises. Two proposers propose different members; either may stop at any
 * step. Each coordinator claims in one epoch. Nodes may restart and then lose their memory.
 *
 * The properties: at most one coordinator dispatches, over both epochs together, and at most one
 * record is decided.
 *
 * Code: src/core/claim/claim-replica.ts, epoch-change.ts. Explained in docs/design/claims.md.
 * Run by spec/claim.check. Each mutation removes one rule and must violate a property:
 *   NO_STOP                  a member that has promised continues to vote on claims
 *   STOP_ONE                 one promise and one acceptance are enough
 *   NO_HANDOVER              new members start with empty tables
 *   IGNORE_ACCEPTED          a proposer ignores earlier acceptances that promises report
 *   INSTALL_ANY_INCARNATION  a record starts a node that restarted after the record was created
 *   FORGET_SEAL              a restarted member recovers the claims but not the seal, and votes
 *   NO_INCARNATION_CHECK     votes, promises and acceptances count without an incarnation check
 * With OBSERVE_EARLY a node may learn of epoch 1 before a majority was started, and then reads one
 * member.
 * With FIRST_EPOCH the first coordinator claims in that epoch and the others in epoch 1.
 */
#define NODES 4
#ifndef PROPOSERS
#define PROPOSERS 2
#endif
#ifndef COORDINATORS
#define COORDINATORS 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* The holders of the key are a set of coordinators, one bit each. Several holders are a conflict. */
#define FREE 0
#define HOLDER(c) (1 << (c))
#define HOLDS(holders, c) (((holders) & HOLDER(c)) != 0)

#define IDLE 0
#define PENDING 1
#define RECOVERING 2
#define VOTING 3
#define SEALED 4

#define COLLECTING 0
#define DISPATCHED 1
#define GAVE_UP 2

#define PREPARING 0
#define ACCEPTING 1
#define DECIDED 2
#define NOBODY 2

#define AT(row, column) ((row) * NODES + (column))

/* Members of epoch 0: 0, 1, 2. Of epoch 1: 0, 1, 3 by proposer 0's record, 1, 2, 3 by proposer 1's. */
#define OLD_MEMBER(n) ((n) != 3)
#define NEW_MEMBER(value, n) ((value) == 0 && (n) != 2 || (value) == 1 && (n) != 0)
#define IS_MEMBER(e, n) ((e) == 0 && OLD_MEMBER(n) || (e) == 1 && NEW_MEMBER(decided, n))

/* Nodes. */
byte epoch[NODES];
byte status[NODES];
byte holder[NODES];
byte incarnation[NODES];
byte known[16];              /* AT(n, m) */
byte promised[NODES];        /* ballot of proposer p is p + 1 */
byte acceptedBy[NODES];      /* ballot of the acceptance; 0 when there is none */
byte acceptedValue[NODES];
bool wasRead[16];
byte restarts;

/* Proposers. A value is the number of the proposer that created the record. */
byte step[2];
bool proposed[2];
byte recordIncarnation[8];   /* AT(p, n): incarnation of n in the record of p */
byte chosen[2];
byte highest[2];     /* highest ballot of an acceptance among the promises */
byte merged[2];      /* holders of the key in the tables of the promises */
bool got[8];                 /* AT(p, n): p has the promise of n, in step ACCEPTING its acceptance */
byte gotIncarnation[8];
byte gotKnown[32];           /* AT(AT(p, n), m) */
byte decided = NOBODY;       /* decided value, which determines the members of epoch 1 */
byte installs;               /* members started in epoch 1; counted up to 2 */

/* Coordinators. */
byte phase[COORDINATORS + 1];
byte claimsIn[COORDINATORS + 1]; /* epoch */
bool granted[(COORDINATORS + 1) * NODES];
byte grantIncarnation[(COORDINATORS + 1) * NODES];
byte grantKnown[(COORDINATORS + 1) * 16];
byte dispatches;
byte undecided = COORDINATORS; /* coordinators that may still dispatch */

/* Prunes runs in which a second dispatch has become impossible. */
#if COORDINATORS == 0
#define RELEVANT true
#else
#define RELEVANT (undecided + dispatches >= 2)
#endif

/* Clears replies that no longer matter, so that states which differ only in them are merged. */
#define DROP_ONE(has, whose, knows, x, n) \
  has[AT(x, n)] = false; whose[AT(x, n)] = 0; \
  knows[AT(AT(x, n), 0)] = 0; knows[AT(AT(x, n), 1)] = 0; \
  knows[AT(AT(x, n), 2)] = 0; knows[AT(AT(x, n), 3)] = 0
#define DROP(has, whose, knows, x) \
  DROP_ONE(has, whose, knows, x, 0); DROP_ONE(has, whose, knows, x, 1); \
  DROP_ONE(has, whose, knows, x, 2); DROP_ONE(has, whose, knows, x, 3)

#ifdef NO_INCARNATION_CHECK
#define AGREE(has, whose, knows, x, r, s) (has[AT(x, r)] && has[AT(x, s)])
#else
#define AGREE(has, whose, knows, x, r, s) \
  (has[AT(x, r)] && has[AT(x, s)] && \
   knows[AT(AT(x, r), s)] == whose[AT(x, s)] && knows[AT(AT(x, s), r)] == whose[AT(x, r)])
#endif
#define GRANTS(c, r, s) AGREE(granted, grantIncarnation, grantKnown, c, r, s)
#define REPLIES(p, r, s) AGREE(got, gotIncarnation, gotKnown, p, r, s)
#define ANY_GRANTS(c) \
  (GRANTS(c, 0, 1) || GRANTS(c, 0, 2) || GRANTS(c, 1, 2) || \
   GRANTS(c, 0, 3) || GRANTS(c, 1, 3) || GRANTS(c, 2, 3))
#ifdef STOP_ONE
#define ANY_REPLIES(p) (got[AT(p, 0)] || got[AT(p, 1)] || got[AT(p, 2)])
#else
#define ANY_REPLIES(p) (REPLIES(p, 0, 1) || REPLIES(p, 0, 2) || REPLIES(p, 1, 2))
#endif

#define KEEPS_TABLE(n) (status[n] == VOTING || status[n] == SEALED)
#ifdef NO_STOP
#define VOTES(n) KEEPS_TABLE(n)
#else
#define VOTES(n) (status[n] == VOTING)
#endif

/* Union of the holders in two tables. */
#define MERGE(left, right) ((left) | (right))

inline handleClaim(c, n) {
  atomic {
    RELEVANT && VOTES(n) && epoch[n] == claimsIn[c] &&
      (holder[n] == FREE || holder[n] == HOLDER(c)) ->
    holder[n] = HOLDER(c);
    if
    :: granted[AT(c, n)] || phase[c] != COLLECTING -> skip
    :: phase[c] == COLLECTING ->
       granted[AT(c, n)] = true;
       grantIncarnation[AT(c, n)] = incarnation[n];
       grantKnown[AT(AT(c, n), 0)] = known[AT(n, 0)];
       grantKnown[AT(AT(c, n), 1)] = known[AT(n, 1)];
       grantKnown[AT(AT(c, n), 2)] = known[AT(n, 2)];
       grantKnown[AT(AT(c, n), 3)] = known[AT(n, 3)]
    fi
  }
}

inline handleRelease(c, n) {
  atomic {
    RELEVANT && phase[c] == GAVE_UP && KEEPS_TABLE(n) && HOLDS(holder[n], c) ->
    holder[n] = holder[n] - HOLDER(c)
  }
}

proctype Coordinator(byte c) {
  atomic {
#ifdef FIRST_EPOCH
    claimsIn[c] = (c == 0 -> FIRST_EPOCH : 1)
#else
    if
    :: c == 0 || claimsIn[c - 1] == 0 -> claimsIn[c] = 0
    :: claimsIn[c] = 1
    fi
#endif
  }
  do
  :: handleClaim(c, 0)
  :: handleClaim(c, 1)
  :: handleClaim(c, 2)
  :: handleClaim(c, 3)
  :: atomic {
       phase[c] == COLLECTING && ANY_GRANTS(c) ->
       phase[c] = DISPATCHED;
       undecided--;
       dispatches++;
       DROP(granted, grantIncarnation, grantKnown, c);
#ifdef REACHABLE
       assert(claimsIn[c] == 0 || restarts < RESTARTS)
#else
       assert(dispatches <= 1)
#endif
     }
  :: atomic {
       RELEVANT && phase[c] == COLLECTING ->
       phase[c] = GAVE_UP;
       undecided--;
       DROP(granted, grantIncarnation, grantKnown, c)
     }
  :: handleRelease(c, 0)
  :: handleRelease(c, 1)
  :: handleRelease(c, 2)
  :: handleRelease(c, 3)
  od
}

inline record(p, n) {
  got[AT(p, n)] = true;
  gotIncarnation[AT(p, n)] = incarnation[n];
  gotKnown[AT(AT(p, n), 0)] = known[AT(n, 0)];
  gotKnown[AT(AT(p, n), 1)] = known[AT(n, 1)];
  gotKnown[AT(AT(p, n), 2)] = known[AT(n, 2)]
}

inline handlePrepare(p, n) {
  atomic {
    RELEVANT && proposed[p] && step[p] == PREPARING && !got[AT(p, n)] &&
      KEEPS_TABLE(n) && epoch[n] == 0 && promised[n] < p + 1 ->
    promised[n] = p + 1;
    status[n] = SEALED;
    record(p, n);
    merged[p] = MERGE(merged[p], holder[n]);
#ifndef IGNORE_ACCEPTED
    if
    :: acceptedBy[n] > highest[p] ->
       highest[p] = acceptedBy[n];
       chosen[p] = acceptedValue[n]
    :: else
    fi
#endif
  }
}

inline handleAccept(p, n) {
  atomic {
    RELEVANT && step[p] == ACCEPTING && !got[AT(p, n)] &&
      KEEPS_TABLE(n) && epoch[n] == 0 && promised[n] <= p + 1 ->
    promised[n] = p + 1;
    status[n] = SEALED;
    acceptedBy[n] = p + 1;
    acceptedValue[n] = chosen[p];
    record(p, n)
  }
}

#ifdef INSTALL_ANY_INCARNATION
#define NAMES(value, n) NEW_MEMBER(value, n)
#else
#define NAMES(value, n) (NEW_MEMBER(value, n) && recordIncarnation[AT(value, n)] == incarnation[n])
#endif

inline enter(n, value) {
  epoch[n] = 1;
  promised[n] = 0;
  acceptedBy[n] = 0;
  acceptedValue[n] = 0;
  known[AT(n, 0)] = recordIncarnation[AT(value, 0)];
  known[AT(n, 1)] = recordIncarnation[AT(value, 1)];
  known[AT(n, 2)] = recordIncarnation[AT(value, 2)];
  known[AT(n, 3)] = recordIncarnation[AT(value, 3)];
  known[AT(n, n)] = incarnation[n];
  wasRead[AT(n, 0)] = false;
  wasRead[AT(n, 1)] = false;
  wasRead[AT(n, 2)] = false;
  wasRead[AT(n, 3)] = false;
  holder[n] = FREE
}

inline install(p, n) {
  atomic {
    RELEVANT && step[p] == DECIDED && NAMES(chosen[p], n) &&
      (epoch[n] == 0 || status[n] == PENDING) ->
    enter(n, chosen[p]);
    installs = (installs < 2 -> installs + 1 : 2);
#ifndef NO_HANDOVER
    holder[n] = merged[p];
#endif
    status[n] = VOTING
  }
}

proctype Proposer(byte p) {
  atomic {
    recordIncarnation[AT(p, 0)] = incarnation[0];
    recordIncarnation[AT(p, 1)] = incarnation[1];
    recordIncarnation[AT(p, 2)] = incarnation[2];
    recordIncarnation[AT(p, 3)] = incarnation[3];
    chosen[p] = p;
    proposed[p] = true
  }
  do
  :: handlePrepare(p, 0)
  :: handlePrepare(p, 1)
  :: handlePrepare(p, 2)
  :: atomic {
       step[p] == PREPARING && ANY_REPLIES(p) ->
       step[p] = ACCEPTING;
       highest[p] = 0;
       DROP(got, gotIncarnation, gotKnown, p)
     }
  :: handleAccept(p, 0)
  :: handleAccept(p, 1)
  :: handleAccept(p, 2)
  :: atomic {
       step[p] == ACCEPTING && ANY_REPLIES(p) ->
       step[p] = DECIDED;
       assert(decided == NOBODY || decided == chosen[p]);
       decided = chosen[p];
       DROP(got, gotIncarnation, gotKnown, p)
     }
  :: install(p, 0)
  :: install(p, 1)
  :: install(p, 2)
  :: install(p, 3)
  od
}

/* A restart loses all state. The node knows epoch 0 at once and learns of epoch 1 by `observe`. */
inline restart(n) {
  atomic {
    RELEVANT && restarts < RESTARTS ->
    restarts++;
    incarnation[n]++;
    holder[n] = FREE;
    promised[n] = 0;
    acceptedBy[n] = 0;
    acceptedValue[n] = 0;
    epoch[n] = 0;
    known[AT(n, n)] = incarnation[n];
    wasRead[AT(n, 0)] = false;
    wasRead[AT(n, 1)] = false;
    wasRead[AT(n, 2)] = false;
    wasRead[AT(n, 3)] = false;
    status[n] = (OLD_MEMBER(n) -> RECOVERING : IDLE)
  }
}

#ifdef OBSERVE_EARLY
#define ANNOUNCED (decided != NOBODY)
#else
#define ANNOUNCED (installs == 2)
#endif

/* A node learns that epoch 1 is established: a majority of its members has been started. */
inline observe(n) {
  atomic {
    RELEVANT && ANNOUNCED && epoch[n] == 0 ->
    enter(n, decided);
    if
    :: !NEW_MEMBER(decided, n) -> status[n] = IDLE
    :: NEW_MEMBER(decided, n) && recordIncarnation[AT(decided, n)] == incarnation[n] ->
       status[n] = PENDING
    :: else -> status[n] = RECOVERING
    fi
  }
}

/*
 * A recovering or pending node n reads member m and gets the reply in the same step. Other members
 * cannot finish their own recovery before n does; claim.pml models delayed replies.
 */
inline read(n, m) {
  atomic {
    RELEVANT && n != m && (status[n] == RECOVERING || status[n] == PENDING) && !wasRead[AT(n, m)] &&
      epoch[m] == epoch[n] && KEEPS_TABLE(m) && IS_MEMBER(epoch[n], m) ->
    known[AT(m, n)] = incarnation[n];
    known[AT(n, m)] = incarnation[m];
    wasRead[AT(n, m)] = true;
    holder[n] = MERGE(holder[n], holder[m]);
#ifndef FORGET_SEAL
    if
    :: promised[m] > promised[n] -> promised[n] = promised[m]
    :: else
    fi;
#endif
    if
    :: acceptedBy[m] > acceptedBy[n] ->
       acceptedBy[n] = acceptedBy[m];
       acceptedValue[n] = acceptedValue[m]
    :: else
    fi
  }
}

#define DONE_READING(n, m) (n == m || !IS_MEMBER(epoch[n], m) || wasRead[AT(n, m)])
#define READ_ALL(n) \
  (DONE_READING(n, 0) && DONE_READING(n, 1) && DONE_READING(n, 2) && DONE_READING(n, 3))
#define READ_ANY(n) (wasRead[AT(n, 0)] || wasRead[AT(n, 1)] || wasRead[AT(n, 2)] || wasRead[AT(n, 3)])

inline recover(n) {
  atomic {
    RELEVANT && (status[n] == RECOVERING && READ_ALL(n) ||
                 status[n] == PENDING && READ_ANY(n)) ->
    status[n] = (promised[n] > 0 -> SEALED : VOTING);
    wasRead[AT(n, 0)] = false;
    wasRead[AT(n, 1)] = false;
    wasRead[AT(n, 2)] = false;
    wasRead[AT(n, 3)] = false
  }
}

proctype Node(byte n) {
  do
  :: restart(n)
  :: observe(n)
  :: read(n, 0)
  :: read(n, 1)
  :: read(n, 2)
  :: read(n, 3)
  :: recover(n)
  od
}

init {
  atomic {
    byte i = 0;
    status[0] = VOTING;
    status[1] = VOTING;
    status[2] = VOTING;
    do
    :: i < NODES -> run Node(i); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < PROPOSERS -> run Proposer(i); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < COORDINATORS -> run Coordinator(i); i++
    :: else -> break
    od;
    i = 0
  }
}
