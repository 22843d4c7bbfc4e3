/**
 * The life of requests, connections, idempotency records, calls and timers on one node. The package
 * does no I/O and starts no threads: one thread passes in the time and all events, and results go
 * out through the ports {@link lupinwood.processing.UpstreamConnections}, {@link
 * lupinwood.processing.Executor} and {@link lupinwood.processing.Dependency}.
 *
 * <p>{@link lupinwood.processing.RequestProcessor} is the entry point and defines the order of the
 * steps; each other class performs one of them. Every mutable object is owned by the event loop
 * thread.
 */
package lupinwood.processing;
