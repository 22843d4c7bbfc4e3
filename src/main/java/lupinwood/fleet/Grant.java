package lupinwood.fleet;

/** A duty with the token under which it is, or was, one node's. */
public record Grant(DutyName duty, Token token) {}
