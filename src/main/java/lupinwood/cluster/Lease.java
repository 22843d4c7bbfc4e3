package lupinwood.cluster;

/** A duty with the token under which it is, or was, one node's. */
public record Lease(DutyName duty, FencingToken token) {}
