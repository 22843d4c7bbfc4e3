/**
 * The consensus group: a few voters that replicate the cluster state through MicroRaft, their
 * storage, the transport between nodes, and each node's membership in the cluster. No part of the
 * membership's work runs on the event loop thread, which only reads the view and the log summary,
 * and queues tasks. A node without a cluster loads none of this package.
 */
package lupinwood.consensus;
