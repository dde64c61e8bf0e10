/*
 * Distribution of accepted revisions; see docs/design/configuration.md. How a revision is
 * accepted is in revision.pml; here the newest one rises by itself.
 *
 * Nodes 0 and 1 are in zone A, 2 and 3 in zone B. They take revisions from the platform and
 * from each other; each reply is a message that may be delivered late or lost. The platform has
 * outages, zone B is cut off for a time, nodes die (also right after they have accepted a
 * revision) and replacements start from the platform or from peers.
 *
 * Checked: a node never takes an older revision, and a zone never falls back. A zone has in force
 * the lowest revision of its ready nodes; it could fall back only where a node becomes ready.
 *
 * Left out: a stalled process; a membership view that is wrong about who is ready; the time between a peer's answer to a starting node and that node
 * being ready. A zone none of whose ready nodes is left has nothing in force until one is
 * ready again; that one may then have an older revision than the zone had before.
 *
 * A mutant takes one mechanism away: -DTAKE_ANY, -DREADY_AT_ONCE, -DNO_PEER_AFTER_READ,
 * -DANY_ZONE.
 */

#define NODES 4
#define NONE 15

#ifndef REVISIONS
#define REVISIONS 2
#endif
#ifndef DEATHS
#define DEATHS 2
#endif

#define zoneOf(n) ((n) / 2)
#define neighbour(n) ((n) ^ 1)
#define reaches(a, b) (zoneOf(a) == zoneOf(b) || !cut)

/* Which peers a starting node asks when the platform cannot be read. */
#ifdef ANY_ZONE
#define mayAsk(n, peer) true
#else
#define mayAsk(n, peer) (zoneOf(peer) == zoneOf(n) || !ready[neighbour(n)])
#endif

byte head;                        /* newest accepted revision */
bool up = true;
bool cut;
byte deaths;
byte value[NODES];                /* revision at the node */
bool ready[NODES] = true;
byte readResult[NODES] = NONE;    /* what a starting node has read from the platform */
byte messageTo = NONE;            /* a reply on its way to a ready node */
byte messageValue;

/* A node takes a revision in: never an older one. */
inline takeIn(n, revision) {
    before = value[n];
#ifdef TAKE_ANY
    value[n] = revision;
#else
    if
    :: revision > value[n] -> value[n] = revision
    :: else
    fi;
#endif
    assert(value[n] >= before);
    before = 0
}

/* A starting node serves from now on: its zone must not fall back by it. */
inline becomeReady(n) {
    assert(!ready[neighbour(n)] || value[n] >= value[neighbour(n)]);
    readResult[n] = NONE;
    ready[n] = true
}

inline resetChoices() {
    n = 0;
    peer = 0
}

active proctype Fleet() {
    byte n, peer, before;

end:
    do
    /* A change is accepted; the accepting node has it, unless it dies at once. */
    :: atomic {
        up && head < REVISIONS ->
        head++;
        select(n : 0 .. NODES - 1);
        if
        :: ready[n] -> takeIn(n, head)
        :: true
        fi;
        resetChoices()
       }
    :: atomic { up -> up = false }
    :: atomic { !up -> up = true }
    :: atomic { !cut -> cut = true }
    :: atomic { cut -> cut = false }
    :: atomic {
        deaths < DEATHS ->
        deaths++;
        select(n : 0 .. NODES - 1);
        value[n] = 0;
        readResult[n] = NONE;
        ready[n] = false;
        if
        :: messageTo == n -> messageTo = NONE; messageValue = 0
        :: else
        fi;
        resetChoices()
       }
    /* A reply to a ready node sets out: from the platform, or from a peer. */
    :: atomic {
        messageTo == NONE ->
        select(n : 0 .. NODES - 1);
        select(peer : 0 .. NODES - 1);
        if
        :: ready[n] && up -> messageTo = n; messageValue = head
        :: ready[n] && ready[peer] && peer != n && reaches(n, peer) ->
            messageTo = n; messageValue = value[peer]
        :: else
        fi;
        resetChoices()
       }
    :: atomic { messageTo != NONE -> takeIn(messageTo, messageValue); messageTo = NONE; messageValue = 0 }
    :: atomic { messageTo != NONE -> messageTo = NONE; messageValue = 0 }
    /* A starting node reads the platform; the answer may take its time. */
    :: atomic {
        up ->
        select(n : 0 .. NODES - 1);
        if
        :: !ready[n] && readResult[n] == NONE -> readResult[n] = head
        :: else
        fi;
        resetChoices()
       }
    /* The answer is there; a ready peer of the zone is asked too, when there is one. */
    :: atomic {
        select(n : 0 .. NODES - 1);
        if
        :: !ready[n] && readResult[n] != NONE ->
            takeIn(n, readResult[n]);
#ifndef NO_PEER_AFTER_READ
            if
            :: ready[neighbour(n)] -> takeIn(n, value[neighbour(n)])
            :: else
            fi;
#endif
            becomeReady(n)
        :: else
        fi;
        resetChoices()
       }
    /* The platform cannot be read: a peer of the zone, or of another when it has none. */
    :: atomic {
        select(n : 0 .. NODES - 1);
        select(peer : 0 .. NODES - 1);
        if
#ifdef READY_AT_ONCE
        :: !ready[n] -> becomeReady(n)
#endif
        :: !ready[n] && ready[peer] && reaches(n, peer) && mayAsk(n, peer) -> takeIn(n, value[peer]); becomeReady(n)
        :: else
        fi;
        resetChoices()
       }
    od
}
