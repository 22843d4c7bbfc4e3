/**
 * The consensus group: a few voters that replicate the cluster state through MicroRaft, their
 * storage, the transport between nodes, and each node's membership in the cluster. Nothing in this
 * package runs on the event loop thread, and a node without a cluster loads none of it.
 */
package lupinwood.consensus;
