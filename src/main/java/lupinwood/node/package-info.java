/**
 * What stands between the decisions and a machine: times, ids, tickets, outcomes, the port {@link
 * lupinwood.node.Server} through which results leave, and the calls {@link lupinwood.node.Node} and
 * {@link lupinwood.node.Handle} by which news comes in. Nothing here decides anything.
 */
package lupinwood.node;
