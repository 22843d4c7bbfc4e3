/**
 * Decides how a release goes through a fleet: who gets it next, whether those that have it do worse
 * than those that haven't, when it halts, and how it goes back. Time comes from outside; no I/O.
 */
package lupinwood.rollout;
