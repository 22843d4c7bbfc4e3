/**
 * What many nodes agree on: who belongs to the fleet, what is known of each, and which one holds
 * which duty. The book is the agreed state, the steward decides for whoever leads the council,
 * holding and session for each node. Time comes from outside, chance from a seed; no I/O.
 */
package lupinwood.fleet;
