/**
 * What many nodes agree on: who belongs to the fleet, what is known of each, and which one holds
 * which duty. The cluster state is the agreed state, the lease manager decides for whoever leads
 * the consensus group, holding and session for each node. Time comes from outside, chance from a
 * seed; no I/O.
 */
package lupinwood.cluster;
