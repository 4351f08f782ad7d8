/*
 * Publication of configuration revisions, with concurrent operators, lost
 * replies and outages of the table service.
 *
 * The head is the number of the latest revision, an atomic register. A change is
 * published by one compare-and-set of the head.
 *
 * Safety properties: a published revision is never overwritten, a change is
 * published at most once, and the revision number that an operator receives is
 * that of its own change.
 *
 * Each of these macros removes one safeguard; an assertion must then fail:
 *   BLIND_PUT      write the head unconditionally
 *   BLIND_RETRY    after a lost reply, retry on the new head without checking
 *                  whether the change was published
 */
#define OPERATORS 3
#define MAX 4

byte head = 0;                   /* the latest revision; 0 is none */
byte change[MAX + 1];            /* the operator that published a revision */
byte acceptedAs[OPERATORS + 1];  /* the revision reported to an operator */
bool up = true;                  /* whether the table is available */
byte outages = 1;                /* outages left */

/*
 * Publishes one change on top of the head that the operator read, with at most one retry. ok is whether the write
 * took effect, seen whether its reply arrived.
 */
proctype Operator(byte id) {
  byte base; byte tries = 0; byte found; byte i; bool seen; bool ok;

  base = head;
retry:
  found = 0;
#ifndef BLIND_RETRY
  /* Check whether an earlier try has published the change. */
  atomic {
    i = 1;
    do
    :: i <= head && i <= MAX ->
       if
       :: change[i] == id -> found = i
       :: else -> skip
       fi;
       i++
    :: else -> break
    od
  };
#else
  /* Read the new head and retry on top of it. */
  base = head;
#endif
  if
  :: found > 0 -> goto published
  :: else -> skip
  fi;
  atomic {
    ok = false;
    if
#ifdef BLIND_PUT
    :: up && base < MAX ->
#else
    :: up && head == base && base < MAX ->
#endif
       /* A published revision is never overwritten. */
       assert(change[base + 1] == 0);
       ok = true; head = base + 1; change[head] = id;
       /* A change is published at most once. */
       i = 1; found = 0;
       do
       :: i <= head ->
          if
          :: change[i] == id -> found++
          :: else -> skip
          fi;
          i++
       :: else -> break
       od;
       assert(found <= 1)
    :: else -> skip
    fi;
    if
    :: seen = true
    :: seen = false              /* the reply is lost */
    fi
  };
  if
  :: seen && ok -> found = base + 1; goto published
  :: seen && !ok && up ->
     /* A conflict, unless an earlier try has published the change. */
     atomic {
       i = 1; found = 0;
       do
       :: i <= head ->
          if
          :: change[i] == id -> found = i
          :: else -> skip
          fi;
          i++
       :: else -> break
       od
     };
     if
     :: found > 0 -> goto published
     :: else -> goto done        /* a conflict is reported: the change was not published */
     fi
  :: else ->
     if
     :: tries < 1 -> tries++; goto retry
     :: else -> goto done        /* an unknown result is reported */
     fi
  fi;
published:
  acceptedAs[id] = found;
  assert(change[acceptedAs[id]] == id);
done:
  skip
}

/* Makes the table unavailable and available again. */
proctype Outage() {
  do
  :: outages > 0 -> outages--; up = false; up = true
  :: else -> break
  od
}

init {
  atomic {
    run Operator(1);
    run Operator(2);
    run Operator(3);
    run Outage()
  }
}
