/*
 * Acceptance of rules revisions; see docs/design/configuration.md. What nodes do with accepted
 * revisions is in revision-distribution.pml.
 *
 * Operators change one tenant's rules through any node. A transaction's answer may be lost, the
 * transaction may take effect much later, the platform has outages, the accepting node may die
 * at any step, and the operator repeats the operation through another node.
 *
 * Left out: several tenants (the same compare puts their changes in one order; covered by a
 * test), and the time limits: a repeat may come at any moment.
 *
 * A mutant takes one mechanism away: -DNO_HEAD_COMPARE, -DNO_OPERATION_COMPARE,
 * -DUNKNOWN_AS_FAILED, -DNO_LOOKUP.
 */

#define OPERATORS 2
#define COPIES 2      /* transactions of one operation that may be on their way at once */
#define NONE 15

#ifndef ROUNDS
#define ROUNDS 4      /* reads and writes that one operator causes at most */
#endif

/* The platform. Revision numbers stand for versions: there is one tenant. */
byte head;                        /* newest accepted revision */
byte revisionOf[OPERATORS];       /* revision that an operation made; 0 when none */
byte late[OPERATORS * COPIES];    /* head compared by a transaction still on its way */

/* The platform carries a transaction out. */
inline execute(operation, compared, succeeded) {
    succeeded = true;
#ifndef NO_HEAD_COMPARE
    if
    :: compared != head -> succeeded = false
    :: else
    fi;
#endif
#ifndef NO_OPERATION_COMPARE
    if
    :: revisionOf[operation] != 0 -> succeeded = false
    :: else
    fi;
#endif
    if
    :: succeeded ->
        assert(compared == head);              /* no accepted revision is replaced unseen */
        assert(revisionOf[operation] == 0);    /* an operation takes effect once */
        head++;
        revisionOf[operation] = head
    :: else
    fi
}

/* What an operator is told must be true, whatever arrives later. */
inline tellNotApplied(operation) {
    assert(revisionOf[operation] == 0);
    assert(late[operation * COPIES] != head);
    assert(late[operation * COPIES + 1] != head)
}

/* A node tells the operator that the write's outcome is unknown, or goes on to settle it. */
inline noteUnknown() {
#ifdef UNKNOWN_AS_FAILED
    tellNotApplied(o)
#else
    outstanding = true
#endif
}

proctype Operator(byte o) {
    byte expected, seen, rounds;
    bool outstanding, succeeded;

round:  /* of one node, or of another one that the operator repeats the operation at */
    atomic {
        rounds++;
        if
        :: expected = head                     /* the operator has looked at the newest */
        :: true
        fi
    }
    atomic {
        if
        :: seen = head
        :: true ->                             /* outage, or the node has died */
            if
            :: !outstanding -> tellNotApplied(o)
            :: else
            fi;
            goto decide
        fi
    }
    atomic {
        if
        :: revisionOf[o] != 0 && revisionOf[o] == seen -> goto accepted
        :: else
        fi;
        if
        :: expected == seen
        :: expected != seen ->                 /* looks up the operation, then it is a conflict */
#ifndef NO_LOOKUP
            if
            :: revisionOf[o] != 0 -> goto accepted
            :: else
            fi;
#endif
            tellNotApplied(o);
            outstanding = false;
            expected = seen;                   /* the operator puts the change on the new one */
            goto decide
        fi
    }
    atomic {
        if
        :: execute(o, seen, succeeded);        /* the answer arrives */
            if
            :: succeeded -> goto accepted
            :: !succeeded && revisionOf[o] != 0 -> goto accepted    /* look-up */
            :: else -> goto decide
            fi
        :: execute(o, seen, succeeded); noteUnknown()       /* lost after the effect */
        :: late[o * COPIES] == NONE -> late[o * COPIES] = seen; noteUnknown()
        :: late[o * COPIES + 1] == NONE -> late[o * COPIES + 1] = seen; noteUnknown()
        :: noteUnknown()                       /* lost before the effect */
        :: skip                                /* refused by rate, or no connection */
        fi
    }
decide:
    atomic {
        succeeded = false;
        seen = 0;
        if
        :: rounds < ROUNDS -> goto round
        :: goto done
        fi
    }
accepted:
    assert(revisionOf[o] != 0);
done:
    skip
}

/* Transactions that arrive late. */
proctype Network() {
    byte index, compared;
    bool succeeded;

end:
    do
    :: atomic {
        select(index : 0 .. OPERATORS * COPIES - 1);
        if
        :: late[index] != NONE ->
            compared = late[index];
            late[index] = NONE;
            execute(index / COPIES, compared, succeeded)
        :: else
        fi;
        index = 0;
        compared = 0;
        succeeded = false
       }
    od
}

init {
    atomic {
        byte k;
        for (k : 0 .. OPERATORS * COPIES - 1) {
            late[k] = NONE
        }
        k = 0;
        run Network();
        run Operator(0);
        run Operator(1)
    }
}
