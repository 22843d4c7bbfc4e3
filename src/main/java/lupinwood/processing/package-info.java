/**
 * The node without its sockets: requests, connections, idempotency records, calls and deadlines. No
 * I/O, no threads; the time and all news are told from outside, by one thread, and results leave
 * through the ports.
 */
package lupinwood.processing;
