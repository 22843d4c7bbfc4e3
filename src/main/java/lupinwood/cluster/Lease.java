package lupinwood.cluster;

/** A duty, and the fencing token under which one node holds or held it. */
public record Lease(DutyName duty, FencingToken token) {}
