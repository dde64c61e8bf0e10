/*
 * Distribution of accepted revisions; see docs/design/configuration.md. The acceptance of revisions
 * is in revision.pml; here the newest revision increases without an operator.
 *
 * Nodes 0 and 1 are in zone A, nodes 2 and 3 in zone B. They receive revisions from the platform
 * and from each other; each reply is a message that may be delivered late or lost. The platform has
 * outages, zone B is partitioned for some time, nodes crash (also right after they have accepted a
 * revision), and replacements start from the platform or from peers.
 *
 * Checked: a node never applies an older revision, and a zone never returns to one. The revision in
 * force in a zone is the lowest of its ready nodes, so it can decrease only when a node becomes
 * ready.
 *
 * Not modelled: a stalled process; a membership view with wrong readiness; the time between a peer's
 * reply to a starting node and the readiness of that node. A zone without a ready node has no
 * revision in force until a node is ready again, which may have an older revision than the zone had
 * before.
 *
 * A mutant removes one mechanism: -DTAKE_ANY, -DREADY_AT_ONCE, -DNO_PEER_AFTER_READ,
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

/* Which peers a starting node queries when it cannot read the platform. */
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
byte readResult[NODES] = NONE;    /* revision that a starting node has read from the platform */
byte messageTo = NONE;            /* receiver of a reply in transit, a ready node */
byte messageValue;

/* A node applies a received revision, but never an older one. */
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

/* A starting node becomes ready; this must not lower the revision in force in its zone. */
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
    /* A change is accepted; the accepting node has the revision, unless it crashes at once. */
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
    /* The platform or a peer sends a reply to a ready node. */
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
    /* A starting node reads the platform; the reply may be delayed. */
    :: atomic {
        up ->
        select(n : 0 .. NODES - 1);
        if
        :: !ready[n] && readResult[n] == NONE -> readResult[n] = head
        :: else
        fi;
        resetChoices()
       }
    /* The reply has arrived; the node also queries the other node of its zone, if that is ready. */
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
    /* The platform cannot be read: the node queries a peer of its zone, or of the other zone when
       its zone has no ready node. */
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
