/*
 * Acceptance of rules revisions; see docs/design/configuration.md. The distribution of accepted
 * revisions to nodes is in revision-distribution.pml.
 *
 * Operators change one tenant's rules through any node. A transaction's response may be lost, the
 * transaction may take effect much later, the platform has outages, the accepting node may crash
 * at any step, and the operator retries the operation through another node.
 *
 * Not modelled: several tenants (the same compare orders their changes; covered by a test), and
 * time limits: a retry may come at any moment.
 *
 * A mutant removes one mechanism: -DNO_HEAD_COMPARE, -DNO_OPERATION_COMPARE,
 * -DUNKNOWN_AS_FAILED, -DNO_LOOKUP.
 */

#define OPERATORS 2
#define COPIES 2      /* transactions of one operation that may be in transit at the same time */
#define NONE 15

#ifndef ROUNDS
#define ROUNDS 4      /* rounds of an operator at most; a round is a read and a write */
#endif

/* The platform. Revision numbers stand for versions: there is one tenant. */
byte head;                        /* newest accepted revision */
byte revisionOf[OPERATORS];       /* revision that an operation created; 0 when none */
byte late[OPERATORS * COPIES];    /* head that a transaction in transit compares */

/* The platform executes a transaction. */
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
        assert(compared == head);              /* no accepted revision is overwritten unseen */
        assert(revisionOf[operation] == 0);    /* an operation takes effect once */
        head++;
        revisionOf[operation] = head
    :: else
    fi
}

/* A report that an operation was not applied must stay true, whichever transactions arrive later. */
inline tellNotApplied(operation) {
    assert(revisionOf[operation] == 0);
    assert(late[operation * COPIES] != head);
    assert(late[operation * COPIES + 1] != head)
}

/* The node reports an unknown outcome to the operator, or continues to determine it. */
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

round:  /* at one node; a further round may be at another node, where the operator retries */
    atomic {
        rounds++;
        if
        :: expected = head                     /* the operator has read the newest revision */
        :: true
        fi
    }
    atomic {
        if
        :: seen = head
        :: true ->                             /* outage, or the node has crashed */
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
        :: expected != seen ->                 /* a conflict, unless a look-up finds the operation */
#ifndef NO_LOOKUP
            if
            :: revisionOf[o] != 0 -> goto accepted
            :: else
            fi;
#endif
            tellNotApplied(o);
            outstanding = false;
            expected = seen;                   /* the operator rebases the change on the newest revision */
            goto decide
        fi
    }
    atomic {
        if
        :: execute(o, seen, succeeded);        /* the response arrives */
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
