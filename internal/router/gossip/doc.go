// Package gossip detects failed nodes and spreads membership updates between nodes, in the manner of SWIM.
//
// Every period a node probes two of its probe targets, the peers of its own region at
// distances 1, 2, 4 and so on along a hash ring. Each probe and each reply piggybacks recent
// updates. A peer that does not answer is probed indirectly, through two other peers, and
// becomes suspect if they cannot reach it either. Package member holds the states. Nodes
// suspect only nodes of their own region, so a partition between regions causes no suspicions.
//
// Bridges, two members of each failure domain, connect the regions: every period a bridge
// exchanges updates with a bridge of one other region.
//
// Dead members are probed from time to time, so that the two sides of a partition within a
// region merge again after it. Nodes also compare digests of their membership tables from
// time to time, and exchange whole tables if these differ, to repair lost updates.
package gossip
