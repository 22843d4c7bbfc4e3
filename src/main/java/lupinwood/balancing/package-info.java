/**
 * Which server gets which request, who is left out and tried again, how many may be out to each,
 * and out of what budget a try is made again. Time comes from outside, chance from a seed; no I/O.
 */
package lupinwood.balancing;
