/**
 * The replicated cluster state and what nodes tell each other: who is a member, what is known of
 * each node, and which node holds which duty. {@link lupinwood.cluster.ClusterState} is the
 * replicated state machine, {@link lupinwood.cluster.LeaseManager} decides for the leader of the
 * consensus group, {@link lupinwood.cluster.ClusterSession} and {@link
 * lupinwood.cluster.HeldLeases} belong to each node. The package is deterministic: the caller
 * passes in the time and the random seed, and there is no I/O.
 */
package lupinwood.cluster;
