/*
 * Distribution of configuration revisions to nodes. A node reads revisions from
 * the table service, or from a peer during an outage of the table. Nodes restart
 * without any state.
 *
 * Safety properties: the active revision of a node never decreases while it
 * runs, and a node that starts becomes ready only with a revision at least as
 * new as the table's or, during an outage, as that of its ready peer.
 *
 * Each of these macros removes one safeguard; an assertion must then fail:
 *   ANY_ORDER      activate any revision received, even an older one
 *   START_BLIND    become ready with the local files if neither the table nor a
 *                  ready peer is available
 */
#define NODES 2
#define MAX 3

byte head = 0;            /* the latest published revision */
byte inForce[NODES];      /* the active revision of each node; 0 is the local files */
bool ready[NODES];
bool up = true;           /* whether the table is available */
byte outages = 2;         /* outages left */

/* Publishes revisions while the table is available. */
proctype Operators() {
  do
  :: atomic { up && head < MAX -> head++ }
  :: head == MAX -> break
  od
}

/* Makes the table unavailable and available again. */
proctype Outage() {
  do
  :: outages > 0 -> outages--; up = false; up = true
  :: else -> break
  od
}

/* install activates a revision if it is newer than the active one. */
inline install(pnode, pnum) {
  atomic {
#ifdef ANY_ORDER
    if
    :: pnum > 0 -> inForce[pnode] = pnum
    :: else -> skip
    fi
#else
    if
    :: pnum > inForce[pnode] -> inForce[pnode] = pnum
    :: else -> skip
    fi
#endif
  }
}

/* Starts, follows the revisions and restarts at most once. */
proctype Node(byte id) {
  byte starts = 0; byte was; byte received;

start:
  starts++;
  /* A restart loses all state. */
  atomic { ready[id] = false; inForce[id] = 0 };
  if
  :: atomic { up -> install(id, head); ready[id] = true }
  :: atomic { !up && ready[1 - id] -> install(id, inForce[1 - id]); ready[id] = true;
       assert(inForce[id] >= inForce[1 - id]) }
#ifdef START_BLIND
  :: atomic { !up && !ready[1 - id] -> ready[id] = true; assert(head == 0) }
#endif
  fi;
  do
  :: atomic {
       was = inForce[id];
       if
       :: up -> received = head
       :: ready[1 - id] -> received = inForce[1 - id]
       :: else -> received = 0
       fi
     };
     /* The reply is in transit: other processes may run between the read and the activation. */
     was = inForce[id];
     install(id, received);
     assert(inForce[id] >= was)
  :: starts < 2 -> goto start
  :: break
  od
}

init {
  atomic {
    run Operators();
    run Outage();
    run Node(0);
    run Node(1)
  }
}
