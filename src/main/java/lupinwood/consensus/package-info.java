/**
 * The consensus group: a few voters that agree on the fleet's book through MicroRaft, what they
 * keep in a folder, how nodes reach them, and the node's side of it all. Nothing here runs on the
 * event loop thread, and nothing is loaded without a fleet.
 */
package lupinwood.consensus;
