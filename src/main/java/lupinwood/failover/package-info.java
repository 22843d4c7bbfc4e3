/**
 * Capacity planning for failover: how many requests of each site may be in flight at each
 * downstream location. Prefers near locations while they are healthy, never exceeds what a location
 * can take, moves traffic away at once and back in steps. Time comes from the caller; no I/O.
 */
package lupinwood.failover;
