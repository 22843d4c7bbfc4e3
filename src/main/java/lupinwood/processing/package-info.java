/**
 * The node without its sockets: requests, connections, idempotency records, calls and deadlines. No
 * I/O, no threads; the time and all news are told from outside, by one thread, and results leave
 * through the ports.
 *
 * <p>{@link lupinwood.processing.RequestProcessor} is the way in and shows the order of the steps;
 * each class behind it does one of them. What is no immutable value is owned by the event loop
 * thread.
 */
package lupinwood.processing;
