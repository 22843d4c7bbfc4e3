/**
 * Decides how much of each zone's work goes to which place below: near as long as near is safe, no
 * more anywhere than a place can bear, out quickly and back in steps. Time comes from outside; no
 * I/O.
 */
package lupinwood.failover;
