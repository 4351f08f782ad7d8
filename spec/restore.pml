/*
 * Copies of a store that is restored from a backup. The store numbers its changes;
 * a restoration goes back to an earlier version, gives later ones out again and
 * begins the next era. Nodes copy the newest value from the store, which they read
 * or watch, or from each other. Answers may be in transit while the store is restored.
 *
 * Safety property: a copy that an answer confirms, because it has the version of the
 * answer, holds the value of the answer.
 *
 * Each of these macros removes one safeguard; an assertion must then fail:
 *   WATCH_ACROSS   confirm a copy by a watch that was answered in another era
 *   PEER_ACROSS    compare versions with a peer whose copy is of another era
 *   MERGE_ACROSS   merge a snapshot of an earlier era
 */
#define NODES 2
#define MAX_VERSION 2
#define MAX_CHANGES 4
#define RESTORATIONS 2

byte era = 1;             /* the era of the store */
byte version = 0;         /* the version of the newest change */
byte values[3];           /* the value that each change wrote, by version */
byte changes = 0;         /* changes so far; each writes a new value */

byte copyEra[NODES];
byte copyVersion[NODES];
byte copyValue[NODES];

/* Writes changes, and restores the store from a backup of some version. */
proctype Store() {
  byte restorations = 0;
  byte back;
  do
  :: atomic { changes < MAX_CHANGES && version < MAX_VERSION ->
       changes++; version++; values[version] = changes }
  :: atomic { restorations < RESTORATIONS && version > 0 ->
       restorations++;
       select (back : 0 .. 1);
       if
       :: back < version -> version = back
       :: else -> skip
       fi;
       era++ }
  :: break
  od
}

/* Takes a copy over if it is newer: of a later era, or of the same era with a later version. */
inline merge(pnode, pera, pversion, pvalue) {
  if
  :: pera > copyEra[pnode] || pera == copyEra[pnode] && pversion > copyVersion[pnode] ->
       copyEra[pnode] = pera; copyVersion[pnode] = pversion; copyValue[pnode] = pvalue
#ifdef MERGE_ACROSS
  :: pera < copyEra[pnode] && pversion > copyVersion[pnode] ->
       copyVersion[pnode] = pversion; copyValue[pnode] = pvalue
#endif
  :: else -> skip
  fi
}

proctype Node(byte id) {
  byte after, askedEra, ansEra, ansVersion, ansValue;
  do
  /* Reads a snapshot. */
  :: atomic { ansEra = era; ansVersion = version; ansValue = values[version] };
     atomic { merge(id, ansEra, ansVersion, ansValue);
       assert(copyEra[id] != ansEra || copyVersion[id] != ansVersion || copyValue[id] == ansValue) }
  /* Watches for changes after the version of its copy. */
  :: atomic { after = copyVersion[id]; askedEra = copyEra[id] };
     atomic { ansEra = era; ansVersion = version; ansValue = values[version] };
     atomic {
       if
       :: after > ansVersion -> skip /* the store does not have the version */
#ifndef WATCH_ACROSS
       :: after <= ansVersion && ansEra != copyEra[id] -> skip /* read a snapshot next */
       :: after <= ansVersion && ansEra == copyEra[id] ->
#else
       :: after <= ansVersion ->
#endif
            if
            :: ansVersion > after && ansEra == copyEra[id] -> merge(id, ansEra, ansVersion, ansValue)
            :: else -> skip
            fi;
            /* Without changes the answer confirms the copy. */
            assert(copyVersion[id] != ansVersion || copyValue[id] == ansValue)
       fi }
  /* Compares its copy with that of the other node. */
  :: atomic { ansEra = copyEra[1 - id]; ansVersion = copyVersion[1 - id]; ansValue = copyValue[1 - id] };
     atomic {
       merge(id, ansEra, ansVersion, ansValue);
       if
#ifndef PEER_ACROSS
       :: ansEra == copyEra[id] && ansVersion == copyVersion[id] -> assert(copyValue[id] == ansValue)
#else
       :: ansVersion == copyVersion[id] -> assert(copyValue[id] == ansValue)
#endif
       :: else -> skip
       fi }
  :: break
  od
}

init {
  atomic {
    run Store();
    run Node(0);
    run Node(1)
  }
}
