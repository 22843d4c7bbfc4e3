/**
 * What is decided about reloading: when to read, what a change means, whether a move is kept. No
 * I/O.
 */
package lupinwood.reload;
