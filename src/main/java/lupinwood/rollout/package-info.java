/**
 * Rollouts of a release through a fleet: which nodes get it next, canary analysis against the nodes
 * that don't have it, halting, and rolling back. Time comes from the caller; no I/O.
 */
package lupinwood.rollout;
