// Package gossip tells the nodes of each other.
//
// Every period a node probes two of its fingers, the peers of its own region at
// distances 1, 2, 4 and so on along a ring; each probe and each reply carries
// recent changes. A peer that does not answer is probed through two others, and
// then suspected. Only nodes of the same region judge each other, so a cut
// between regions makes nobody suspect.
//
// Two members of each failure domain, the bridges, also exchange changes with a
// bridge of another region, in turn. Members that are dead are probed now and
// then, so that two halves of a region find each other again after a cut.
package gossip
